// Command drill runs the cases of this folder that can't be put as a day of the bench: it starts entries as separate
// processes, with stand-ins of the platform's store, of workers and of callers, and checks one rule.
package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireJSON []byte

// wire holds names of the platform's interfaces, which Go code outside the adapter must not spell out.
var wire = func() map[string]string {
	names := make(map[string]string)
	if err := json.Unmarshal(wireJSON, &names); err != nil {
		panic(err)
	}
	return names
}()
