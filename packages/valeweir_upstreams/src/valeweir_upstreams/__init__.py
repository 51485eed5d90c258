"""HTTP requests to the upstreams: model engines and plain services."""
