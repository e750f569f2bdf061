package sidecar

import "testing"

// FuzzParseBody checks that ParseBody either returns an error with a code, or a request with a model,
// at least one message whose role is set and no negative token limit.
func FuzzParseBody(f *testing.F) {
	f.Add([]byte(`{"model":"triage","messages":[{"role":"user","content":"x"}],"stream":true}`))
	f.Add([]byte(`{"model":1}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, failure := ParseBody(raw)
		if failure != nil {
			if failure.Code == 0 {
				t.Fatal("rejected without an error code")
			}
			return
		}
		if body.Model == "" || len(body.Messages) == 0 || body.Messages[0].Role == "" || body.MaxTokens < 0 {
			t.Fatalf("accepted an invalid request: %+v", body)
		}
	})
}
