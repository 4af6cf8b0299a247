package dhjournal

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/io/dhwire"
)

// The fields of core's types are unexported, and the journal must cover every
// event, including those added later. So the codec accesses fields by
// reflection: it encodes a struct as a JSON object, a value in an interface as an
// object with the stored name of its type, and a catalog as its Protobuf bytes.
// Stored names come from storedName and typesByStoredName. They stay when a Go
// name changes, so that journals of earlier releases can be replayed.

// catalogType is encoded in full only when the version of the catalog changes.
var catalogType = reflect.TypeFor[*dhcatalog.Catalog]()

// Members of the JSON objects that encode an interface or a catalog.
const (
	typeMember    = "type"
	valueMember   = "value"
	versionMember = "version"
	fullMember    = "whole"
)

// codec encodes values as JSON and decodes them. It keeps the last catalog,
// which later values refer to by its version.
type codec struct{ catalog *dhcatalog.Catalog }

// storedName returns the name under which journals store a field: that of its
// journal tag, else its Go name. A field that is renamed in core keeps its old
// name in the tag.
func storedName(f reflect.StructField) string {
	if name, _, _ := strings.Cut(f.Tag.Get("journal"), ","); name != "" {
		return name
	}
	return f.Name
}

// omitZero is the option of a journal tag by which a field is left out while it has its zero
// value, so that the effects in journals of releases without the field stay equal.
const omitZero = "omitZero"

func isOmitted(f reflect.StructField, v reflect.Value) bool {
	_, option, _ := strings.Cut(f.Tag.Get("journal"), ",")
	return option == omitZero && v.IsZero()
}

func (c *codec) encode(v any) (json.RawMessage, error) {
	encoded, err := c.encodeValue(reflect.ValueOf(v))
	if err != nil {
		return nil, err
	}
	return json.Marshal(encoded)
}

func (c *codec) encodeValue(v reflect.Value) (any, error) {
	switch v.Kind() {
	case reflect.Bool:
		return v.Bool(), nil
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return v.Int(), nil
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return v.Uint(), nil
	case reflect.Float64:
		return v.Float(), nil
	case reflect.String:
		return v.String(), nil
	case reflect.Interface:
		return c.encodeInterface(v)
	case reflect.Pointer:
		return c.encodePointer(v)
	case reflect.Slice, reflect.Array:
		return c.encodeList(v)
	case reflect.Map:
		return c.encodeMap(v)
	case reflect.Struct:
		return c.encodeStruct(v)
	default:
		return nil, fmt.Errorf("journal: a value of type %s can't be encoded", v.Type())
	}
}

func (c *codec) encodeInterface(v reflect.Value) (any, error) {
	if v.IsNil() {
		return nil, nil
	}
	name, listed := storedNamesByType[v.Elem().Type()]
	if !listed {
		return nil, fmt.Errorf("journal: type %s isn't listed in types.go", v.Elem().Type())
	}
	encoded, err := c.encodeValue(v.Elem())
	return map[string]any{typeMember: name, valueMember: encoded}, err
}

func (c *codec) encodePointer(v reflect.Value) (any, error) {
	if v.IsNil() {
		return nil, nil
	}
	if v.Type() == catalogType {
		return c.encodeCatalog((*dhcatalog.Catalog)(v.UnsafePointer()))
	}
	return c.encodeValue(v.Elem())
}

func (c *codec) encodeCatalog(catalog *dhcatalog.Catalog) (any, error) {
	if c.catalog != nil && c.catalog.Version() == catalog.Version() {
		return map[string]any{versionMember: catalog.Version()}, nil
	}
	raw, err := dhwire.EncodeCatalog(catalog)
	if err != nil {
		return nil, err
	}
	c.catalog = catalog
	return map[string]any{versionMember: catalog.Version(), fullMember: raw}, nil
}

func (c *codec) encodeList(v reflect.Value) (any, error) {
	if v.Kind() == reflect.Slice && v.IsNil() {
		return nil, nil
	}
	if v.Type().Elem().Kind() == reflect.Uint8 {
		raw := make([]byte, v.Len())
		for i := range raw {
			raw[i] = byte(v.Index(i).Uint())
		}
		return raw, nil
	}
	list := make([]any, v.Len())
	for i := range list {
		var err error
		if list[i], err = c.encodeValue(v.Index(i)); err != nil {
			return nil, err
		}
	}
	return list, nil
}

func (c *codec) encodeMap(v reflect.Value) (any, error) {
	m := map[string]any{}
	for i := v.MapRange(); i.Next(); {
		encoded, err := c.encodeValue(i.Value())
		if err != nil {
			return nil, err
		}
		m[i.Key().String()] = encoded
	}
	return m, nil
}

func (c *codec) encodeStruct(v reflect.Value) (any, error) {
	m := map[string]any{}
	for i := range v.NumField() {
		if isOmitted(v.Type().Field(i), v.Field(i)) {
			continue
		}
		encoded, err := c.encodeValue(v.Field(i))
		if err != nil {
			return nil, err
		}
		if encoded != nil {
			m[storedName(v.Type().Field(i))] = encoded
		}
	}
	return m, nil
}

// decode decodes JSON into the variable that target points to.
func (c *codec) decode(raw json.RawMessage, target any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var encoded any
	if err := d.Decode(&encoded); err != nil {
		return err
	}
	return c.decodeValue(encoded, reflect.ValueOf(target).Elem())
}

// settable returns a value for the same variable that reflection can set even if
// the variable is an unexported field.
func settable(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), v.Addr().UnsafePointer()).Elem()
}

// decodeError returns the error for a JSON value that can't be decoded into the
// type of v.
func decodeError(v reflect.Value, encoded any) error {
	return fmt.Errorf("journal: a JSON value of type %T can't be decoded into %s; replay with the release that recorded it", encoded, v.Type())
}

func (c *codec) decodeValue(encoded any, v reflect.Value) error {
	v = settable(v)
	if encoded == nil {
		return nil
	}
	switch v.Kind() {
	case reflect.Bool:
		b, _ := encoded.(bool)
		v.SetBool(b)
		return nil
	case reflect.String:
		s, _ := encoded.(string)
		v.SetString(s)
		return nil
	case reflect.Interface:
		return c.decodeInterface(encoded, v)
	case reflect.Pointer:
		return c.decodePointer(encoded, v)
	case reflect.Slice, reflect.Array:
		return c.decodeList(encoded, v)
	case reflect.Map:
		return c.decodeMap(encoded, v)
	case reflect.Struct:
		return c.decodeStruct(encoded, v)
	default:
		return decodeNumber(encoded, v)
	}
}

func decodeNumber(encoded any, v reflect.Value) error {
	n, ok := encoded.(json.Number)
	if !ok {
		return decodeError(v, encoded)
	}
	return json.Unmarshal([]byte(n), v.Addr().Interface())
}

func (c *codec) decodeInterface(encoded any, v reflect.Value) error {
	m, ok := encoded.(map[string]any)
	if !ok {
		return decodeError(v, encoded)
	}
	name, _ := m[typeMember].(string)
	t, known := typesByStoredName[name]
	if !known {
		return decodeError(v, encoded)
	}
	value := reflect.New(t).Elem()
	if err := c.decodeValue(m[valueMember], value); err != nil {
		return err
	}
	v.Set(value)
	return nil
}

func (c *codec) decodePointer(encoded any, v reflect.Value) error {
	if v.Type() == catalogType {
		return c.decodeCatalog(encoded, v)
	}
	v.Set(reflect.New(v.Type().Elem()))
	return c.decodeValue(encoded, v.Elem())
}

func (c *codec) decodeCatalog(encoded any, v reflect.Value) error {
	m, ok := encoded.(map[string]any)
	if !ok {
		return decodeError(v, encoded)
	}
	if text, full := m[fullMember].(string); full {
		raw, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return err
		}
		if c.catalog, err = dhwire.DecodeCatalog(raw); err != nil {
			return err
		}
	}
	if c.catalog == nil {
		return decodeError(v, encoded)
	}
	v.Set(reflect.ValueOf(c.catalog))
	return nil
}

func (c *codec) decodeList(encoded any, v reflect.Value) error {
	if text, ok := encoded.(string); ok {
		raw, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return err
		}
		if v.Kind() == reflect.Slice {
			v.SetBytes(raw)
			return nil
		}
		reflect.Copy(v, reflect.ValueOf(raw))
		return nil
	}
	list, ok := encoded.([]any)
	if !ok {
		return decodeError(v, encoded)
	}
	if v.Kind() == reflect.Slice {
		v.Set(reflect.MakeSlice(v.Type(), len(list), len(list)))
	}
	for i, x := range list {
		if err := c.decodeValue(x, v.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

func (c *codec) decodeMap(encoded any, v reflect.Value) error {
	m, ok := encoded.(map[string]any)
	if !ok {
		return decodeError(v, encoded)
	}
	v.Set(reflect.MakeMap(v.Type()))
	for k, x := range m {
		value := reflect.New(v.Type().Elem()).Elem()
		if err := c.decodeValue(x, value); err != nil {
			return err
		}
		v.SetMapIndex(reflect.ValueOf(k).Convert(v.Type().Key()), value)
	}
	return nil
}

func (c *codec) decodeStruct(encoded any, v reflect.Value) error {
	m, ok := encoded.(map[string]any)
	if !ok {
		return decodeError(v, encoded)
	}
	for i := range v.NumField() {
		if err := c.decodeValue(m[storedName(v.Type().Field(i))], v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}
