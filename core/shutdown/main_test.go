package shutdown

import (
	"os"
	"testing"

	"amaranthturn/internal/fixedseed"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }
