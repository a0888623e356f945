// Command backend is a small backend server: it announces itself to the node beside it and answers every request.
package main

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"strings"
	"time"
)

func main() {
	node, address := os.Args[1], os.Args[2]
	go func() {
		announcement := fmt.Sprintf(`{"service": "ledger", "address": %q, "instance": "%d", "slots": 8, "connections": 100, "load": 0, "state": "serving"}`,
			address, time.Now().UnixNano())
		for ; ; time.Sleep(500 * time.Millisecond) {
			resp, err := http.Post("http://"+node+"/v1/announce", "application/json", strings.NewReader(announcement))
			if err != nil {
				log.Print(err)
				continue
			}
			_ = resp.Body.Close()
		}
	}()
	log.Fatal(http.ListenAndServe(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "ran %s with %q at %s\n", r.URL.Path, body, time.Now().UTC().Format(time.RFC3339Nano))
	})))
}
