package target

import (
	"bytes"
	"strings"
)


