package grant

import (
	"encoding/json"
	"net/http"
)

// maxExchangeBytes bounds the body of an exchange. A set of 100,000 ranges fits.
const maxExchangeBytes = 4 << 20

// Handler serves exchanges posted to ExchangePath.
type Handler struct {
	holder *Holder
}

// NewHandler returns a Handler that passes exchanges to a Holder.
func NewHandler(holder *Holder) *Handler {
	return &Handler{holder: holder}
}

// ServeHTTP answers 200 with an Answer as JSON, refusals included; 405 for a method other
// than POST and 400 for a body that is not an Exchange.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "exchanges are posted", http.StatusMethodNotAllowed)
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
