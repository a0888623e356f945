package crrecord_test

import (
	"fmt"
	"time"

	"github.com/citronramp/citronramp/pkg/crrecord"
)

// Three keepers decide which of two attempts with the same id runs; the second attempt gets the answer of the first.
func Example() {
	id := crrecord.NewID("n1-5f3a", 1_700_000_000_000, 42)
	now := crrecord.Instant{Elapsed: time.Second, UnixMS: id.CreatedMS()}
	group := crrecord.Group{Number: id.Group(), Epoch: 1}
	for _, node := range []string{"a", "b", "c"} {
		group.Members = append(group.Members, crrecord.Member{Node: node, Incarnation: "1"})
	}
	var keepers []*crrecord.Keeper
	for _, m := range group.Members {
		k := &crrecord.Keeper{Self: m}
		k.Configure(group)
		handovers, _ := crrecord.NewReconfiguration(group).Ready()
		k.Install(now, group, handovers)
		keepers = append(keepers, k)
	}
	digest := crrecord.DigestOf("ledger", "record", []byte("12 sacks"))
	for token := crrecord.Token(1); token <= 2; token++ {
		claimer := crrecord.NewClaimer(len(keepers))
		for i, k := range keepers {
			claimer.AddReply(i, k.Claim(now, crrecord.Claim{ID: id, Digest: digest, Token: token, Epoch: 1}))
		}
		decision, _ := claimer.Decision()
		fmt.Printf("%s %q\n", decision.Code, decision.Answer.Body)
		for _, k := range keepers {
			k.Complete(now, crrecord.Completion{ID: id, Digest: digest, Token: 1, Answer: crrecord.Answer{Status: 200, Body: []byte("paid")}})
		}
	}
	// Output:
	// ok ""
	// replayed "paid"
}
