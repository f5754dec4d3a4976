package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/service/api"
)

const contextKeyOperator = "account"

// HashToken returns the SHA-256 of a token in hexadecimal, which the settings hold instead of it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// authenticate refuses requests without the token of an operator account.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		operator := s.operatorByToken(token)
		if !ok || operator == nil {
			c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
			return newAPIError(http.StatusUnauthorized, api.ErrorCodeUnauthorized, "a known bearer token is needed")
		}
		c.Set(contextKeyOperator, operator)
		return next(c)
	}
}

// operatorByToken returns the operator account of a token, nil for none. It compares the token
// with all accounts in constant time, against timing attacks.
func (s *Server) operatorByToken(token string) (found *schema.Account) {
	hash := []byte(HashToken(token))
	for i := range s.operators {
		if subtle.ConstantTimeCompare(hash, []byte(s.operators[i].TokenSha256)) == 1 {
			found = &s.operators[i]
		}
	}
	return found
}

// requireEditRole refuses operators who may only view.
func requireEditRole(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if actor(c).Role != schema.RoleEdit {
			return newAPIError(http.StatusForbidden, api.ErrorCodeForbidden, "the account may view but not edit")
		}
		return next(c)
	}
}

// actor returns the operator account set by authenticate.
func actor(c echo.Context) *schema.Account {
	operator, _ := c.Get(contextKeyOperator).(*schema.Account)
	return operator
}
