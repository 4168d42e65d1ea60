package rwjson

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Duration is a duration that is encoded in JSON as a string such as "300ms".
type Duration time.Duration

// MarshalJSON encodes the duration as a string in the form of time.Duration.String.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string in the form that time.ParseDuration accepts.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return errors.Errorf("a duration must be a string such as \"300ms\"")
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("%q is not a duration; write one such as \"300ms\"", text)
	}
	*d = Duration(value)
	return nil
}

// Or returns the duration, or fallback when it is zero.
func (d Duration) Or(fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return time.Duration(d)
}
