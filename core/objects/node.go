package objects

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxDepth is the deepest nesting of JSON values that is read. The forms need
// five levels; the bound keeps hostile input from exhausting the stack.
const maxDepth = 16

// node is a JSON value with its line. encoding/json alone accepts repeated
// fields and fields in another letter case, and stops at the first fault; the
// tree lets the decoder report every fault with its line.
type node struct {
	line int
	// value is a string, json.Number, bool, nil, []node or []member.
	value any
}

// member is one field of a JSON object, in source order.
type member struct {
	name string
	node node
}

// treeReader builds a node from JSON text.
type treeReader struct {
	dec  *json.Decoder
	raw  []byte
	at   int // offset up to which newlines are counted
	line int // line of at, from 1
}

// readTree reads exactly one JSON value.
func readTree(raw []byte) (node, error) {
	r := &treeReader{dec: json.NewDecoder(bytes.NewReader(raw)), raw: raw, line: 1}
	r.dec.UseNumber()
	n, err := r.value(0)
	if err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			err = errors.New("the JSON text ends too early")
		}
		return node{line: r.position()}, err
	}
	if _, err := r.dec.Token(); !errors.Is(err, io.EOF) {
		return node{line: r.position()}, errors.New("there is text after the JSON value")
	}
	return n, nil
}

// position returns the line of the decoder's offset.
func (r *treeReader) position() int {
	end := min(int(r.dec.InputOffset()), len(r.raw))
	if end > r.at {
		r.line += bytes.Count(r.raw[r.at:end], []byte{'\n'})
		r.at = end
	}
	return r.line
}

func (r *treeReader) value(depth int) (node, error) {
	if depth > maxDepth {
		return node{}, fmt.Errorf("values are nested deeper than %d levels", maxDepth)
	}
	token, err := r.dec.Token()
	if err != nil {
		return node{}, err
	}
	n := node{line: r.position(), value: token}
	delim, ok := token.(json.Delim)
	if !ok {
		return n, nil
	}
	if delim == '[' {
		n.value, err = r.items(depth)
	} else {
		n.value, err = r.members(depth)
	}
	return n, err
}

func (r *treeReader) items(depth int) ([]node, error) {
	items := []node{}
	for r.dec.More() {
		item, err := r.value(depth + 1)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	_, err := r.dec.Token()
	return items, err
}

func (r *treeReader) members(depth int) ([]member, error) {
	members := []member{}
	for r.dec.More() {
		key, err := r.dec.Token()
		if err != nil {
			return nil, err
		}
		name, ok := key.(string)
		if !ok {
			return nil, errors.New("a field name must be a string")
		}
		n, err := r.value(depth + 1)
		if err != nil {
			return nil, err
		}
		members = append(members, member{name: name, node: n})
	}
	_, err := r.dec.Token()
	return members, err
}

// typeName names the JSON type of a node in messages.
func (n node) typeName() string {
	switch n.value.(type) {
	case string:
		return "a string"
	case json.Number:
		return "a number"
	case bool:
		return "true or false"
	case []node:
		return "an array"
	case []member:
		return "an object"
	default:
		return "null"
	}
}
