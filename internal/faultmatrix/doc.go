// Package faultmatrix checks that the fault matrix in docs/FAULTS.md is complete.
//
// # Usage
//
//	go test ./internal/faultmatrix
package faultmatrix
