package rattansettings

import (
	"flag"
	"os"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
)

const pagePath = "../docs/settings.md"

var update = flag.Bool("update", false, "write the generated page")

// TestPage guards against a documentation page that differs from the table of
// settings.
func TestPage(t *testing.T) {
	c := qt.New(t)
	if *update {
		c.Assert(os.WriteFile(pagePath, []byte(Page()), 0o644), qt.IsNil)
	}
	data, err := os.ReadFile(pagePath)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, Page(), qt.Commentf("run go test ./rattansettings -update"))
}

// TestDefinitionsAreComplete guards against a setting without a definition,
// which would have no check, no default and no documentation.
func TestDefinitionsAreComplete(t *testing.T) {
	c := qt.New(t)
	var keys, definedKeys []string
	collectKeys(reflect.TypeFor[Settings](), "", &keys)
	for _, definition := range definitions {
		definedKeys = append(definedKeys, definition.Key)
		c.Check(definition.Description, qt.Not(qt.Equals), "", qt.Commentf(definition.Key))
		c.Check(definition.Default == "" || definition.accepts(definition.Default), qt.IsTrue, qt.Commentf("%s: default %s", definition.Key, definition.Default))
	}
	c.Assert(definedKeys, qt.DeepEquals, keys)
}

func collectKeys(typ reflect.Type, path string, keys *[]string) {
	if typ.Kind() == reflect.Slice {
		collectKeys(typ.Elem(), path+"[]", keys)
		return
	}
	if typ.Kind() != reflect.Struct {
		*keys = append(*keys, path)
		return
	}
	for _, field := range reflect.VisibleFields(typ) {
		name := field.Name
		if path != "" {
			name = path + "." + name
		}
		collectKeys(field.Type, name, keys)
	}
}
