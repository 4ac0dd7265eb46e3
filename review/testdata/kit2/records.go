package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"slices"
	"text/template"

	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

// The records are those of the users' pages, as templates.
//
//go:embed *.json.tmpl
var templateFiles embed.FS

var templates = template.Must(template.ParseFS(templateFiles, "*.json.tmpl"))

// render fills in a template. It panics if the result is not JSON.
func render(name string, fields any) []byte {
	var out bytes.Buffer
	if err := templates.ExecuteTemplate(&out, name+".json.tmpl", fields); err != nil {
		panic(err)
	}
	if !json.Valid(out.Bytes()) {
		panic("not JSON: " + out.String())
	}
	return out.Bytes()
}

func encode(v any) string {
	content, err := json.Marshal(v)
	if err != nil {
		panic(err) // Unreachable: all values can be encoded.
	}
	return string(content)
}

// route is a route of the configuration.
type route struct {
	Name, Kind string
	Attempts   int
	Sticky     bool
	Services   []string // With equal weights.
}

// config returns a configuration.
func config(version int, routes ...route) []byte {
	var services []string
	for _, r := range routes {
		for _, s := range r.Services {
			if !slices.Contains(services, s) {
				services = append(services, s)
			}
		}
	}
	return render("config", map[string]any{"Version": version, "Host": wiresite.Host, "Routes": routes, "Services": services})
}
