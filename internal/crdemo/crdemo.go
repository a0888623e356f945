// Package crdemo runs whole deployments on loopback with stand-in backend servers and callers, to show and to measure
// what the product does under load and faults.
package crdemo
