package gateway

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders belong to one connection (RFC 9110 section 7.6.1) and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// copyHeaders gives dst the headers that are meant for the other end; values are shared, not copied.
func copyHeaders(dst, src http.Header) {
	named := connectionHeaders(src)
	for name, values := range src {
		if !hopHeaders[name] && !named[name] {
			dst[name] = values
		}
	}
}

// connectionHeaders returns the headers that a message itself names as belonging to the
// connection, nil for the usual none.
func connectionHeaders(h http.Header) (named map[string]bool) {
	for _, v := range h["Connection"] {
		for token := range strings.SplitSeq(v, ",") {
			name := textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token))
			if hopHeaders[name] || name == "Close" {
				continue
			}
			if named == nil {
				named = map[string]bool{}
			}
			named[name] = true
		}
	}
	return named
}

// addForwardedFor tells the backend server whom the request came from.
func addForwardedFor(h http.Header, remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	if prior := h.Get("X-Forwarded-For"); prior != "" {
		host = prior + ", " + host
	}
	h.Set("X-Forwarded-For", host)
}

// upgradeProtocol returns the protocol that a message asks to change to, "" for none.
func upgradeProtocol(h http.Header) string {
	for _, v := range h["Connection"] {
		for token := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "upgrade") {
				return h.Get("Upgrade")
			}
		}
	}
	return ""
}
