package grant

import (
	"encoding/json"
	"net/http"
)

// maxExchangeBytes is the largest accepted body of an exchange. A grant of 100,000 ranges fits.
const maxExchangeBytes = 4 << 20

// Handler serves the exchange protocol over HTTP. Register it for ExchangePath.
type Handler struct {
	holder *Holder
}

// NewHandler returns a Handler that passes exchanges to a Holder.
func NewHandler(holder *Holder) *Handler {
	return &Handler{holder: holder}
}

// ServeHTTP responds with 200 and an Answer as JSON, also when the exchange is refused. It
// responds with 405 to methods other than POST, and with 400 to a body that is not an Exchange
// or is longer than 4 MiB.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "method not allowed, use POST", http.StatusMethodNotAllowed)
		return
	}
	var exchange Exchange
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExchangeBytes)).Decode(&exchange); err != nil {
		http.Error(w, "malformed exchange: "+err.Error(), http.StatusBadRequest)
		return
	}
	body, err := json.Marshal(h.holder.Exchange(exchange))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
}
