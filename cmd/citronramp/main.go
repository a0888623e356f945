// Command citronramp runs the processes of the overload control layer, the node beside each backend server and the control
// instances, and provides the command line tools for operators.
package main

import (
	"os"

	"github.com/citronramp/citronramp/internal/crcli"
)

func main() {
	os.Exit(crcli.Main(os.Args, os.Stdin, os.Stdout, os.Stderr))
}
