package dhjournal

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"reflect"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/io/dhwire"
)

// The core's values keep their fields to themselves. The journal must cover
// every event, also those that are added later, so it reads and writes fields
// by reflection: a struct becomes an object, a value behind an interface an
// object with the name of its type, a whole configuration the bytes of its
// schema.

// catalogType is written whole only when its version changes.
var catalogType = reflect.TypeFor[*dhcatalog.Catalog]()

// names of the members that stand for special values.
const (
	typeMember    = "type"
	valueMember   = "value"
	versionMember = "version"
	fullMember    = "whole"
)

// codec turns values into JSON and back. It remembers the last configuration.
type codec struct{ catalog *dhcatalog.Catalog }

func (c *codec) encode(v any) (json.RawMessage, error) {
	plain, err := c.encodeValue(reflect.ValueOf(v))
	if err != nil {
		return nil, err
	}
	return json.Marshal(plain)
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
		return nil, fmt.Errorf("journal: a value of type %s can't be written", v.Type())
	}
}

func (c *codec) encodeInterface(v reflect.Value) (any, error) {
	if v.IsNil() {
		return nil, nil
	}
	name := v.Elem().Type().String()
	if _, known := typesByStoredName[name]; !known {
		return nil, fmt.Errorf("journal: type %s isn't listed in types.go", name)
	}
	plain, err := c.encodeValue(v.Elem())
	return map[string]any{typeMember: name, valueMember: plain}, err
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

func (c *codec) encodeCatalog(x *dhcatalog.Catalog) (any, error) {
	if c.catalog != nil && c.catalog.Version() == x.Version() {
		return map[string]any{versionMember: x.Version()}, nil
	}
	raw, err := dhwire.EncodeCatalog(x)
	if err != nil {
		return nil, err
	}
	c.catalog = x
	return map[string]any{versionMember: x.Version(), fullMember: raw}, nil
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
		plain, err := c.encodeValue(i.Value())
		if err != nil {
			return nil, err
		}
		m[i.Key().String()] = plain
	}
	return m, nil
}

func (c *codec) encodeStruct(v reflect.Value) (any, error) {
	m := map[string]any{}
	for i := range v.NumField() {
		plain, err := c.encodeValue(v.Field(i))
		if err != nil {
			return nil, err
		}
		if plain != nil {
			m[v.Type().Field(i).Name] = plain
		}
	}
	return m, nil
}

// decode reads JSON into what a pointer points to.
func (c *codec) decode(raw json.RawMessage, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var plain any
	if err := d.Decode(&plain); err != nil {
		return err
	}
	return c.decodeValue(plain, reflect.ValueOf(into).Elem())
}

// settable returns the same variable without the protection of unexported
// fields.
func settable(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), v.Addr().UnsafePointer()).Elem()
}

// shapeError says that a journal holds another shape than a type has.
func shapeError(v reflect.Value, plain any) error {
	return fmt.Errorf("journal: %T doesn't fit %s; replay with the release that recorded it", plain, v.Type())
}

func (c *codec) decodeValue(plain any, v reflect.Value) error {
	v = settable(v)
	if plain == nil {
		return nil
	}
	switch v.Kind() {
	case reflect.Bool:
		b, _ := plain.(bool)
		v.SetBool(b)
		return nil
	case reflect.String:
		s, _ := plain.(string)
		v.SetString(s)
		return nil
	case reflect.Interface:
		return c.decodeInterface(plain, v)
	case reflect.Pointer:
		return c.decodePointer(plain, v)
	case reflect.Slice, reflect.Array:
		return c.decodeList(plain, v)
	case reflect.Map:
		return c.decodeMap(plain, v)
	case reflect.Struct:
		return c.decodeStruct(plain, v)
	default:
		return decodeNumber(plain, v)
	}
}

func decodeNumber(plain any, v reflect.Value) error {
	n, ok := plain.(json.Number)
	if !ok {
		return shapeError(v, plain)
	}
	return json.Unmarshal([]byte(n), v.Addr().Interface())
}

func (c *codec) decodeInterface(plain any, v reflect.Value) error {
	m, ok := plain.(map[string]any)
	if !ok {
		return shapeError(v, plain)
	}
	name, _ := m[typeMember].(string)
	t, known := typesByStoredName[name]
	if !known {
		return shapeError(v, plain)
	}
	x := reflect.New(t).Elem()
	if err := c.decodeValue(m[valueMember], x); err != nil {
		return err
	}
	v.Set(x)
	return nil
}

func (c *codec) decodePointer(plain any, v reflect.Value) error {
	if v.Type() == catalogType {
		return c.decodeCatalog(plain, v)
	}
	v.Set(reflect.New(v.Type().Elem()))
	return c.decodeValue(plain, v.Elem())
}

func (c *codec) decodeCatalog(plain any, v reflect.Value) error {
	m, ok := plain.(map[string]any)
	if !ok {
		return shapeError(v, plain)
	}
	if text, whole := m[fullMember].(string); whole {
		raw, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return err
		}
		if c.catalog, err = dhwire.DecodeCatalog(raw); err != nil {
			return err
		}
	}
	if c.catalog == nil {
		return shapeError(v, plain)
	}
	v.Set(reflect.ValueOf(c.catalog))
	return nil
}

func (c *codec) decodeList(plain any, v reflect.Value) error {
	if text, ok := plain.(string); ok {
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
	list, ok := plain.([]any)
	if !ok {
		return shapeError(v, plain)
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

func (c *codec) decodeMap(plain any, v reflect.Value) error {
	m, ok := plain.(map[string]any)
	if !ok {
		return shapeError(v, plain)
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

func (c *codec) decodeStruct(plain any, v reflect.Value) error {
	m, ok := plain.(map[string]any)
	if !ok {
		return shapeError(v, plain)
	}
	for i := range v.NumField() {
		if err := c.decodeValue(m[v.Type().Field(i).Name], v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}
