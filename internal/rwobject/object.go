// Package rwobject is the form of the objects that the platform's API keeps,
// after the Kubernetes API conventions.
package rwobject

import (
	"encoding/json"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
)

// APIVersion is the group and version of all objects of ragwortwall.
const APIVersion = "ragwortwall/v1"

// Kind is the plural name of a kind of object, as it stands in a URL.
type Kind string

// The kinds of object that ragwortwall keeps or reads.
const (
	KindSettings   Kind = "settings"   // one root and one object per team
	KindMoves      Kind = "moves"      // version moves
	KindRecords    Kind = "records"    // at-most-once calls
	KindQuarantine Kind = "quarantine" // requests that crash backend servers
	KindInstances  Kind = "instances"  // the platform's list of instances
)

// AnnotationNonce names the annotation that tells one write from another. A
// writer that got no answer finds its own nonce when it reads back.
const AnnotationNonce = "ragwortwall/nonce"

// Object is one object of the platform's API.
type Object struct {
	metav1.TypeMeta
	Metadata metav1.ObjectMeta `json:"metadata"`
	Spec     json.RawMessage   `json:"spec,omitempty"`
	Status   json.RawMessage   `json:"status,omitempty"`
}

// List is the answer to a list call.
type List struct {
	metav1.TypeMeta
	Metadata metav1.ListMeta `json:"metadata"`
	Items    []Object        `json:"items"`
}

// Event is one line of a watch.
type Event struct {
	Type   string `json:"type"` // ADDED, MODIFIED, DELETED, BOOKMARK or ERROR
	Object Object `json:"object"`
}

// New returns an object with a spec. It panics when the spec has no JSON form,
// which is a fault of the program.
func New(kind Kind, name string, spec any) Object {
	o := Object{}
	o.APIVersion = APIVersion
	o.Kind = string(kind)
	o.Metadata.Name = name
	return o.WithSpec(spec)
}

// WithSpec returns a copy with another spec.
func (o Object) WithSpec(spec any) Object {
	o.Spec = encode(spec)
	return o
}

// WithStatus returns a copy with another status.
func (o Object) WithStatus(status any) Object {
	o.Status = encode(status)
	return o
}

// WithNonce returns a copy that carries a writer's nonce.
func (o Object) WithNonce(nonce string) Object {
	annotations := make(map[string]string, len(o.Metadata.Annotations)+1)
	for k, v := range o.Metadata.Annotations {
		annotations[k] = v
	}
	annotations[AnnotationNonce] = nonce
	o.Metadata.Annotations = annotations
	return o
}

// Nonce is the nonce of the object's last writer.
func (o Object) Nonce() string { return o.Metadata.Annotations[AnnotationNonce] }

func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
