package settings

import "testing"

// FuzzChange feeds operators' JSON for a node: whatever is taken leaves a tree
// whose effective node is whole and in range, and whose snapshot restores.
func FuzzChange(f *testing.F) {
	f.Add("/services/s", []byte(`{"rank":3,"pool":"p"}`))
	f.Add("/tenants/t", []byte(`{"tenant_in_flight":-1}`))
	f.Add("//", []byte(`{"rank":null}`))
	f.Fuzz(func(t *testing.T, path string, raw []byte) {
		fields, err := ParseFields(raw)
		if err != nil {
			return
		}
		tree := NewTree()
		reply := tree.Apply(Change{Operator: "o", Number: 1, Nodes: []NodeChange{{Path: path, Version: AnyVersion, Fields: fields}}})
		if reply.Error != nil {
			if tree.Revision() != 0 {
				t.Fatal("refused, but the revision moved")
			}
			return
		}
		if err := tree.EffectiveFields(path).check(); err != nil {
			t.Fatalf("taken out of range: %v", err)
		}
		data, err := tree.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if restored := NewTree(); restored.Restore(data) != nil || restored.Revision() != tree.Revision() {
			t.Fatal("the snapshot does not restore")
		}
	})
}
