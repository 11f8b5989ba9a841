package main

import (
	"encoding/json"
	"io"
	"net/http"
)

func readAll(r *http.Request, limit int64) []byte {
	body, _ := io.ReadAll(io.LimitReader(r.Body, limit))
	return body
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(text)
}
