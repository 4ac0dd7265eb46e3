package console

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
)

const (
	cookieName   = "jacinthstall-console"
	cookiePath   = "/console"
	sessionBytes = 32
	tokenField   = "token"
)

// setSecurityHeaders sets the headers that keep other sites from framing or scripting the
// console.
func (s *console) setSecurityHeaders(c *app.RequestContext) {
	h := &c.Response.Header
	h.Set("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; frame-ancestors 'none'")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Referrer-Policy", "same-origin")
	h.Set("Cache-Control", "no-store")
}

// checkHost rejects host names: instances are reached by IP address, and a
// foreign name that resolves to the instance would make another site's pages
// same-origin.
func checkHost(c *app.RequestContext) error {
	host := string(c.Host())
	if _, err := netip.ParseAddrPort(host); err == nil {
		return nil
	}
	if _, err := netip.ParseAddr(host); err == nil {
		return nil
	}
	if host == "localhost" || strings.HasPrefix(host, "localhost:") {
		return nil
	}
	return &pageError{status: 403, message: "open the console by the IP address of the instance"}
}

// sessionID returns the session of the cookie, and sets a new cookie when
// there is none.
func (s *console) sessionID(c *app.RequestContext) (string, error) {
	if session := string(c.Cookie(cookieName)); validSession(session) {
		return session, nil
	}
	raw := make([]byte, sessionBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", err
	}
	session := hex.EncodeToString(raw)
	c.SetCookie(cookieName, session, int(DraftIdleTimeout.Seconds()), cookiePath, "", protocol.CookieSameSiteStrictMode, false, true)
	return session, nil
}

func validSession(session string) bool {
	raw, err := hex.DecodeString(session)
	return err == nil && len(raw) == sessionBytes
}

// token returns the token that the forms of a session carry.
func (s *console) token(session string) string {
	mac := hmac.New(sha256.New, s.tokenSecret[:])
	mac.Write([]byte(session))
	return hex.EncodeToString(mac.Sum(nil))
}

var errReadOnly = &pageError{status: 403, message: "this console is read-only: the settings of this instance list no operator keys"}

// checkForm checks the size and the origin of a form before it is used.
func (s *console) checkForm(r *request, limit int) error {
	if err := s.checkHeaders(r, limit); err != nil {
		return err
	}
	return s.checkToken(r, string(r.FormValue(tokenField)))
}

// checkHeaders checks what can be checked without reading the body.
func (s *console) checkHeaders(r *request, limit int) error {
	if len(s.options.OperatorKeys) == 0 {
		return errReadOnly
	}
	if err := checkHost(r.RequestContext); err != nil {
		return err
	}
	if err := checkSize(r.RequestContext, limit); err != nil {
		return err
	}
	return checkOrigin(r.RequestContext)
}

// checkToken checks that the console sent the form to the session.
func (s *console) checkToken(r *request, sent string) error {
	r.session = string(r.Cookie(cookieName))
	if !validSession(r.session) || !hmac.Equal([]byte(sent), []byte(s.token(r.session))) {
		return &pageError{status: 403, message: "this form is not from this console, or the instance has restarted; open the console again"}
	}
	return nil
}

func checkSize(c *app.RequestContext, limit int) error {
	length := c.Request.Header.ContentLength()
	switch {
	case len(c.Request.Header.PeekContentEncoding()) > 0:
		// A compressed body can be much larger than its stated length.
		return &pageError{status: 415, message: "the request must not be compressed"}
	case length < 0:
		return &pageError{status: 411, message: "the request must state its length"}
	case length > limit:
		return &pageError{status: 413, message: "the form is too large"}
	}
	return nil
}

// checkOrigin rejects what a browser marks as coming from another site.
func checkOrigin(c *app.RequestContext) error {
	origin := string(c.GetHeader("Origin"))
	site := string(c.GetHeader("Sec-Fetch-Site"))
	_, host, _ := strings.Cut(origin, "://")
	if origin != "" && host != string(c.Host()) {
		return &pageError{status: 403, message: "the form comes from another site"}
	}
	if site != "" && site != "same-origin" {
		return &pageError{status: 403, message: "the form comes from another site"}
	}
	return nil
}
