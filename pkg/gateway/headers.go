package gateway

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders are the hop-by-hop headers (RFC 9110 section 7.6.1), which are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// copyHeaders copies the end-to-end headers from src to dst. The value slices are shared.
func copyHeaders(dst, src http.Header) {
	named := connectionHeaders(src)
	for name, values := range src {
		if !hopHeaders[name] && !named[name] {
			dst[name] = values
		}
	}
}

// connectionHeaders returns the headers that the Connection header lists as hop-by-hop, nil if
// none.
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

// addForwardedFor appends the caller's address to X-Forwarded-For.
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

// upgradeProtocol returns the protocol that the message asks to upgrade to, empty for none.
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
