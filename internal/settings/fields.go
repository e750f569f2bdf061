// Package settings is the tree of settings with which operators configure ochrebay (design
// section 6): nodes by path, each of which inherits all fields of its parent and overrides those
// that it sets. The package is a deterministic state machine, replicated by the settings group;
// it also computes the effective fields of a node.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Fields are the settings of a node. A nil field is inherited. Times are in milliseconds, sizes
// in tokens unless the name states another unit.
type Fields struct {
	// Services: nodes /services/NAME.
	Pool            *string `json:"pool,omitempty" yaml:"pool" msgpack:"a,omitempty"`
	Priority        *int64  `json:"rank,omitempty" yaml:"rank" msgpack:"b,omitempty" min:"0" max:"9"`
	BudgetTokens    *int64  `json:"budget_tokens,omitempty" yaml:"budget_tokens" msgpack:"c,omitempty" min:"1" max:"1000000000"`
	MaxTurns        *int64  `json:"max_turns,omitempty" yaml:"max_turns" msgpack:"d,omitempty" min:"1" max:"100000"`
	MaxOutputTokens *int64  `json:"max_output_tokens,omitempty" yaml:"max_output_tokens" msgpack:"e,omitempty" min:"1" max:"1000000"`
	WallTimeMs      *int64  `json:"wall_ms,omitempty" yaml:"wall_ms" msgpack:"f,omitempty" min:"1000" max:"2592000000"`
	IdleTimeoutMs   *int64  `json:"idle_ms,omitempty" yaml:"idle_ms" msgpack:"g,omitempty" min:"1000" max:"2592000000"`
	DeadlineMs      *int64  `json:"deadline_ms,omitempty" yaml:"deadline_ms" msgpack:"h,omitempty" min:"10" max:"86400000"`

	// Pools: nodes /pools/NAME.
	Model      *string `json:"model,omitempty" yaml:"model" msgpack:"i,omitempty"`
	Adapter    *string `json:"adapter,omitempty" yaml:"adapter" msgpack:"j,omitempty"`
	Version    *string `json:"version,omitempty" yaml:"version" msgpack:"k,omitempty"`
	Role       *string `json:"role,omitempty" yaml:"role" msgpack:"l,omitempty" oneof:"serve,prefill,decode"`
	ReadyFloor *int64  `json:"ready_floor,omitempty" yaml:"ready_floor" msgpack:"m,omitempty" min:"0" max:"100000"`

	// Tenants: nodes /tenants/NAME.
	TenantMaxInFlight *int64 `json:"tenant_in_flight,omitempty" yaml:"tenant_in_flight" msgpack:"n,omitempty" min:"0" max:"1000000"`
	TokensPerSecond   *int64 `json:"tokens_per_second,omitempty" yaml:"tokens_per_second" msgpack:"o,omitempty" min:"0" max:"1000000000"`

	// The fleet: node /.
	QueueLimit        *int64 `json:"queue_limit,omitempty" yaml:"queue_limit" msgpack:"p,omitempty" min:"1" max:"1000000"`
	AgeingMs          *int64 `json:"ageing_ms,omitempty" yaml:"ageing_ms" msgpack:"q,omitempty" min:"100" max:"3600000"`
	RetryAttempts     *int64 `json:"retry_attempts,omitempty" yaml:"retry_attempts" msgpack:"r,omitempty" min:"0" max:"10"`
	RetentionMs       *int64 `json:"retain_ms,omitempty" yaml:"retain_ms" msgpack:"s,omitempty" min:"1000" max:"2592000000"`
	ConcurrentLoads   *int64 `json:"concurrent_loads,omitempty" yaml:"concurrent_loads" msgpack:"t,omitempty" min:"1" max:"1000"`
	MaxBodyBytes      *int64 `json:"max_body_bytes,omitempty" yaml:"max_body_bytes" msgpack:"u,omitempty" min:"1024" max:"67108864"`
	EngineConcurrency *int64 `json:"engine_concurrent,omitempty" yaml:"engine_concurrent" msgpack:"v,omitempty" min:"1" max:"4096"`
}

func pointer[T any](value T) *T { return &value }

// Defaults returns the fields that apply where no node sets them.
func Defaults() Fields {
	return Fields{
		Priority:          pointer(int64(5)),
		BudgetTokens:      pointer(int64(600_000)),
		MaxTurns:          pointer(int64(220)),
		MaxOutputTokens:   pointer(int64(256)),
		WallTimeMs:        pointer(int64(3_600_000)),
		IdleTimeoutMs:     pointer(int64(900_000)),
		DeadlineMs:        pointer(int64(120_000)),
		Adapter:           pointer(""),
		Version:           pointer("1"),
		Role:              pointer("serve"),
		ReadyFloor:        pointer(int64(1)),
		TenantMaxInFlight: pointer(int64(0)),
		TokensPerSecond:   pointer(int64(0)),
		QueueLimit:        pointer(int64(2000)),
		AgeingMs:          pointer(int64(10_000)),
		RetryAttempts:     pointer(int64(2)),
		RetentionMs:       pointer(int64(3_600_000)),
		ConcurrentLoads:   pointer(int64(1)),
		MaxBodyBytes:      pointer(int64(8 << 20)),
		EngineConcurrency: pointer(int64(16)),
	}
}

// overlay returns base after replacing each field that overrides sets by its value there.
func overlay(base, overrides Fields) Fields {
	target := reflect.ValueOf(&base).Elem()
	source := reflect.ValueOf(overrides)
	for position := range source.NumField() {
		if !source.Field(position).IsNil() {
			target.Field(position).Set(source.Field(position))
		}
	}
	return base
}

// ParseFields decodes a JSON object; an unknown field is an error.
func ParseFields(raw []byte) (Fields, error) {
	var fields Fields
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&fields); err != nil {
		return Fields{}, fmt.Errorf("%s", strings.TrimPrefix(err.Error(), "json: "))
	}
	return fields, nil
}

// validate returns an error that names the first field with a value that is not allowed.
func (f Fields) validate() error {
	value := reflect.ValueOf(f)
	for position := range value.NumField() {
		field := value.Type().Field(position)
		if value.Field(position).IsNil() {
			continue
		}
		if err := validateField(field, value.Field(position).Elem()); err != nil {
			return err
		}
	}
	return nil
}

func validateField(field reflect.StructField, value reflect.Value) error {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if value.Kind() == reflect.String {
		allowed := field.Tag.Get("oneof")
		if allowed == "" {
			return nil
		}
		for _, choice := range strings.Split(allowed, ",") {
			if value.String() == choice {
				return nil
			}
		}
		return fmt.Errorf("field %s: %q is none of %s", name, value.String(), allowed)
	}
	var low, high int64
	if _, err := fmt.Sscan(field.Tag.Get("min")+" "+field.Tag.Get("max"), &low, &high); err != nil {
		return fmt.Errorf("field %s: no range is declared", name)
	}
	if value.Int() < low || value.Int() > high {
		return fmt.Errorf("field %s: %d is not within %d..%d", name, value.Int(), low, high)
	}
	return nil
}
