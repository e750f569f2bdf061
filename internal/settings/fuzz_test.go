package settings

import "testing"

// FuzzChange applies arbitrary JSON for a node: after an accepted change the effective fields are
// within their ranges and the tree can be restored from its snapshot; a rejected change leaves
// the revision as it was.
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
				t.Fatal("the change was rejected, but the revision changed")
			}
			return
		}
		if err := tree.EffectiveFields(path).validate(); err != nil {
			t.Fatalf("a change with an invalid field was accepted: %v", err)
		}
		data, err := tree.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if restored := NewTree(); restored.Restore(data) != nil || restored.Revision() != tree.Revision() {
			t.Fatal("the tree can't be restored from its snapshot")
		}
	})
}
