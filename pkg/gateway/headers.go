package gateway

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders belong to one connection (RFC 9110 section 7.6.1) and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// passOn copies the headers that are meant for the other end.
func passOn(dst, src http.Header) {
	dropped := map[string]bool{}
	for _, h := range hopHeaders {
		dropped[h] = true
	}
	for _, v := range src["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			dropped[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if !dropped[name] {
			dst[name] = append(dst[name], values...)
		}
	}
}

// addForwarded tells the backend server whom the request came from.
func addForwarded(h http.Header, remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	if prior := h.Get("X-Forwarded-For"); prior != "" {
		host = prior + ", " + host
	}
	h.Set("X-Forwarded-For", host)
}

// upgradeOf returns the protocol that a message asks to change to, "" for none.
func upgradeOf(h http.Header) string {
	for _, v := range h["Connection"] {
		for token := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "upgrade") {
				return h.Get("Upgrade")
			}
		}
	}
	return ""
}
