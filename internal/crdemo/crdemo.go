// Package crdemo runs complete deployments on loopback with simulated backend servers and callers, to demonstrate and to
// measure the overload control under load and faults.
package crdemo
