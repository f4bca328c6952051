package yaml

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	lib "go.yaml.in/yaml/v3"
)

// namePattern matches valid names of models, services, organisations, teams and daemons.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Text returns the text of the field name, or fallback if it is missing.
func (s *Section) Text(name, fallback string) string {
	node := s.scalar(name, "text")
	if node == nil {
		return fallback
	}
	if node.Value == "" {
		s.Reject(name, "is empty", "give it a value, or remove the line")
		return fallback
	}
	return node.Value
}

// Name returns the value of the required field name: lower case letters, digits, dots and dashes, at most 63.
func (s *Section) Name(name, example string) string {
	s.Require(name, example)
	text := s.Text(name, "")
	if text != "" && !namePattern.MatchString(text) {
		s.Reject(name, fmt.Sprintf("%q is no name", text), "use lower case letters, digits, dots and dashes, at most 63")
		return ""
	}
	return text
}

// Choice returns the text of the field name, which must be one of choices, or the first choice if it is missing.
func (s *Section) Choice(name string, choices ...string) string {
	text := s.Text(name, choices[0])
	for _, choice := range choices {
		if text == choice {
			return text
		}
	}
	s.Reject(name, fmt.Sprintf("%q is not a choice", text), "write one of "+strings.Join(choices, ", "))
	return choices[0]
}

// Bool returns the boolean of the field name, or fallback if it is missing.
func (s *Section) Bool(name string, fallback bool) bool {
	node := s.scalar(name, "true or false")
	if node == nil {
		return fallback
	}
	if node.Tag != "!!bool" {
		s.Reject(name, fmt.Sprintf("%q is neither true nor false", node.Value), "write true or false without quotes")
		return fallback
	}
	return strings.EqualFold(node.Value, "true")
}

// Int returns the integer of the field name, between minimum and maximum, or fallback if it is missing.
func (s *Section) Int(name string, fallback, minimum, maximum int64) int64 {
	node := s.scalar(name, "a whole number")
	if node == nil {
		return fallback
	}
	remedy := fmt.Sprintf("write a number from %d to %d", minimum, maximum)
	number, err := strconv.ParseInt(node.Value, 10, 64)
	if err != nil || node.Tag != "!!int" {
		s.Reject(name, fmt.Sprintf("%q is no whole number", node.Value), remedy)
		return fallback
	}
	if number < minimum || number > maximum {
		s.Reject(name, fmt.Sprintf("%d is out of range", number), remedy)
		return fallback
	}
	return number
}

// Duration returns the duration of the field name, between minimum and maximum, or fallback if it is missing.
func (s *Section) Duration(name string, fallback, minimum, maximum time.Duration) time.Duration {
	node := s.scalar(name, "a duration")
	if node == nil {
		return fallback
	}
	duration, err := time.ParseDuration(node.Value)
	if err != nil {
		s.Reject(name, fmt.Sprintf("%q is no duration", node.Value), `write a number with a unit, such as "500ms" or "2s"`)
		return fallback
	}
	if duration < minimum || duration > maximum {
		s.Reject(name, fmt.Sprintf("%v is out of range", duration), fmt.Sprintf("write one from %v to %v", minimum, maximum))
		return fallback
	}
	return duration
}

// Address returns the IP address and port of the field name, or the zero value if it is missing.
func (s *Section) Address(name string) netip.AddrPort {
	node := s.scalar(name, "an address")
	if node == nil {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(node.Value)
	if err != nil {
		s.Reject(name, fmt.Sprintf("%q is no address", node.Value), `write an IP number and a port, such as "127.0.0.1:9000"`)
	}
	return address
}

// Addresses returns the list of IP addresses and ports of the field name.
func (s *Section) Addresses(name string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for i, text := range s.Texts(name) {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			s.Reject(name, fmt.Sprintf("item %d, %q, is no address", i, text),
				`write an IP number and a port, such as "127.0.0.1:9000"`)
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

func (s *Section) scalar(name, expected string) *lib.Node {
	found := s.find(name)
	if found == nil {
		return nil
	}
	if found.value.Kind != lib.ScalarNode {
		s.Reject(name, "is "+describe(found.value)+" where "+expected+" is expected", "write a single value")
		return nil
	}
	return found.value
}
