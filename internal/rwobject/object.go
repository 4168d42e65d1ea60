// Package rwobject defines the objects that the platform's API stores. They follow
// the Kubernetes API conventions.
package rwobject

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
)

// APIVersion is the group and version of all objects of ragwortwall.
const APIVersion = "ragwortwall/v1"

// Kind is the plural name of a kind of object, as in the URLs of the API.
type Kind string

// The kinds of object that ragwortwall writes or reads.
const (
	KindSettings   Kind = "settings"   // the root, the subtree of each team and the version moves
	KindMoves      Kind = "moves"      // the lease of the instance that decides on version moves
	KindRecords    Kind = "records"    // records of at-most-once calls
	KindQuarantine Kind = "quarantine" // signatures of requests that crash backend servers
	KindInstances  Kind = "instances"  // the platform's list of instances
)

// AnnotationNonce is the annotation that identifies a write. A writer whose call got
// no response reads the object back: if it has the writer's nonce, the write took
// effect.
const AnnotationNonce = "ragwortwall/nonce"

// AnnotationGeneration is the annotation with the generation that the writer of a
// settings object counted. The platform counts metadata.generation itself, and gives out
// the same numbers again when it comes back from an older copy of its contents.
const AnnotationGeneration = "ragwortwall/generation"

// Object is one object of the platform's API.
type Object struct {
	metav1.TypeMeta
	Metadata metav1.ObjectMeta `json:"metadata"`
	Spec     json.RawMessage   `json:"spec,omitempty"`
	Status   json.RawMessage   `json:"status,omitempty"`
}

// List is the response to a list call.
type List struct {
	metav1.TypeMeta
	Metadata metav1.ListMeta `json:"metadata"`
	Items    []Object        `json:"items"`
}

// Event is one event of a watch: a change to an object, a bookmark or an error.
type Event struct {
	Type   string `json:"type"` // ADDED, MODIFIED, DELETED, BOOKMARK or ERROR
	Object Object `json:"object"`
}

// New returns an object with a spec. It panics if the spec can't be encoded as JSON,
// which is a programming error.
func New(kind Kind, name string, spec any) Object {
	o := Object{}
	o.APIVersion = APIVersion
	o.Kind = string(kind)
	o.Metadata.Name = name
	return o.WithSpec(spec)
}

// WithSpec returns a copy with the given spec. It panics if the spec can't be encoded
// as JSON.
func (o Object) WithSpec(spec any) Object {
	o.Spec = mustEncode(spec)
	return o
}

// WithStatus returns a copy with the given status. It panics if the status can't be
// encoded as JSON.
func (o Object) WithStatus(status any) Object {
	o.Status = mustEncode(status)
	return o
}

// WithNonce returns a copy with a writer's nonce.
func (o Object) WithNonce(nonce string) Object { return o.withAnnotation(AnnotationNonce, nonce) }

func (o Object) withAnnotation(name, value string) Object {
	annotations := make(map[string]string, len(o.Metadata.Annotations)+1)
	for k, v := range o.Metadata.Annotations {
		annotations[k] = v
	}
	annotations[name] = value
	o.Metadata.Annotations = annotations
	return o
}

// WithGeneration returns a copy with the generation that its writer counted.
func (o Object) WithGeneration(generation int64) Object {
	return o.withAnnotation(AnnotationGeneration, strconv.FormatInt(generation, 10))
}

// Generation returns the generation of the object's spec: the one that its writer
// counted, or metadata.generation if that is higher, as after a write that bypassed
// ragwortwall.
func (o Object) Generation() int64 {
	counted, _ := strconv.ParseInt(o.Metadata.Annotations[AnnotationGeneration], 10, 64) // zero if absent
	return max(counted, o.Metadata.Generation)
}

// Revision returns the revision of the object's spec.
func (o Object) Revision() Revision {
	spec := o.Spec
	var compact bytes.Buffer
	if json.Compact(&compact, spec) == nil {
		spec = compact.Bytes()
	}
	return Revision{Generation: o.Generation(), Content: xxhash.Sum64(spec)}
}

// Nonce returns the nonce of the object's last write, or "" if it has none.
func (o Object) Nonce() string { return o.Metadata.Annotations[AnnotationNonce] }

func mustEncode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
