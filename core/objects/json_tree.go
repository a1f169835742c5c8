package objects

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxDepth is the number of levels to which JSON values may be nested. A bundle
// needs five levels; the bound keeps hostile input from exhausting the stack.
const maxDepth = 16

// jsonNode is a JSON value and its line. The decoder works on a tree of nodes,
// so that it can report every fault with its line. Decoding into structs with
// encoding/json would stop at the first fault, and would accept repeated fields
// and field names in another letter case.
type jsonNode struct {
	line int
	// value is a string, json.Number, bool, nil, []jsonNode or []jsonMember.
	value any
}

// jsonMember is one field of a JSON object. The members of an object are in
// source order and may have equal names.
type jsonMember struct {
	name string
	node jsonNode
}

// treeReader builds a tree of nodes from JSON text.
type treeReader struct {
	dec     *json.Decoder
	raw     []byte
	counted int // offset in raw up to which newlines are counted
	line    int // line number at the offset counted, from 1
}

// readTree reads exactly one JSON value. On an error it returns a node that
// holds only the line of the error.
func readTree(raw []byte) (jsonNode, error) {
	r := &treeReader{dec: json.NewDecoder(bytes.NewReader(raw)), raw: raw, line: 1}
	r.dec.UseNumber()
	n, err := r.readValue(0)
	if err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			err = errors.New("the JSON text ends too early")
		}
		return jsonNode{line: r.currentLine()}, err
	}
	if _, err := r.dec.Token(); !errors.Is(err, io.EOF) {
		return jsonNode{line: r.currentLine()}, errors.New("there is text after the JSON value")
	}
	return n, nil
}

// currentLine returns the line number of the end of the last token read.
func (r *treeReader) currentLine() int {
	end := min(int(r.dec.InputOffset()), len(r.raw))
	if end > r.counted {
		r.line += bytes.Count(r.raw[r.counted:end], []byte{'\n'})
		r.counted = end
	}
	return r.line
}

// readValue reads the next value, which is nested in depth arrays and objects.
func (r *treeReader) readValue(depth int) (jsonNode, error) {
	if depth > maxDepth {
		return jsonNode{}, fmt.Errorf("values are nested deeper than %d levels", maxDepth)
	}
	token, err := r.dec.Token()
	if err != nil {
		return jsonNode{}, err
	}
	n := jsonNode{line: r.currentLine(), value: token}
	delim, ok := token.(json.Delim)
	if !ok {
		return n, nil
	}
	if delim == '[' {
		n.value, err = r.readArray(depth)
	} else {
		n.value, err = r.readObject(depth)
	}
	return n, err
}

// readArray reads the rest of an array whose opening bracket has been read.
func (r *treeReader) readArray(depth int) ([]jsonNode, error) {
	items := []jsonNode{}
	for r.dec.More() {
		item, err := r.readValue(depth + 1)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	_, err := r.dec.Token()
	return items, err
}

// readObject reads the rest of an object whose opening brace has been read.
func (r *treeReader) readObject(depth int) ([]jsonMember, error) {
	members := []jsonMember{}
	for r.dec.More() {
		key, err := r.dec.Token()
		if err != nil {
			return nil, err
		}
		name, ok := key.(string)
		if !ok {
			return nil, errors.New("a field name must be a string")
		}
		n, err := r.readValue(depth + 1)
		if err != nil {
			return nil, err
		}
		members = append(members, jsonMember{name: name, node: n})
	}
	_, err := r.dec.Token()
	return members, err
}

// typeName returns the JSON type of the node, with an article, for messages.
func (n jsonNode) typeName() string {
	switch n.value.(type) {
	case string:
		return "a string"
	case json.Number:
		return "a number"
	case bool:
		return "true or false"
	case []jsonNode:
		return "an array"
	case []jsonMember:
		return "an object"
	default:
		return "null"
	}
}
