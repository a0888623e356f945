// Command citronramp is the overload control layer: the node beside each backend server, the control instances, and the
// operator's tools.
package main

import (
	"os"

	"github.com/citronramp/citronramp/internal/crcli"
)

func main() {
	os.Exit(crcli.Main(os.Args, os.Stdin, os.Stdout, os.Stderr))
}
