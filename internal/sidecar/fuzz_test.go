package sidecar

import "testing"

// FuzzParseBody feeds callers' JSON: it is refused with a numbered error, or names
// a service and at least one message with a role.
func FuzzParseBody(f *testing.F) {
	f.Add([]byte(`{"model":"triage","messages":[{"role":"user","content":"x"}],"stream":true}`))
	f.Add([]byte(`{"model":1}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, failure := ParseBody(raw)
		if failure != nil {
			if failure.Code == 0 {
				t.Fatal("refused without a number")
			}
			return
		}
		if body.Model == "" || len(body.Messages) == 0 || body.Messages[0].Role == "" || body.MaxTokens < 0 {
			t.Fatalf("taken: %+v", body)
		}
	})
}
