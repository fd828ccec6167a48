package conf_test

import (
	"fmt"

	"carobpulley"
	"carobpulley/conf"
)

const catalogue = `format: 1
members:
  - name: rentals
    token_sha256: ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]
    quota: {starts_per_second: 100, max_concurrent: 20, weight: 1}
services:
  - {name: check, member: rentals, class: normal, run_time: 50ms, idempotent: true}
domains:
  - {name: d1, region: r, in_service: true}
entries: [entry-1]
`

// Two operators change the same version. The change that comes first in the log is
// accepted.
func ExampleFold() {
	f := conf.NewFold()
	page := carobpulley.Page{Next: conf.FirstOffset}
	for _, author := range []string{"ann", "bob"} {
		c := conf.Change{ID: "by-" + author, Base: 0, Author: author, Document: []byte(catalogue)}
		data, err := c.Encode()
		if err != nil {
			fmt.Println(err)
			return
		}
		page.Records = append(page.Records, carobpulley.Record{Offset: page.Next, ID: c.ID, Data: data})
		page.Next++
	}
	for _, r := range f.Apply(f.Next(), page) {
		fmt.Println(r.ID, r.Outcome)
	}
	cat, err := f.Catalogue()
	fmt.Println("version", cat.Version, "in force:", cat.InService("d1"), err)
	// Output:
	// by-ann accepted
	// by-bob conflict
	// version 1 in force: true <nil>
}

// All problems of a document are reported at once, with their lines.
func ExampleParse() {
	_, err := conf.Parse([]byte("format: 1\nentries: []\ndomains: 7\n"))
	fmt.Println(err)
	// Output:
	// conf.Parse: the document has 4 faults
	//   line 1: members: is missing
	//   line 1: services: is missing
	//   line 2: entries: must name at least one entry
	//   line 3: domains: must be a list
}
