package core

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
)

type groupKind struct {
	Type string `json:"f"`
	Zone string `json:"y"`
	Spot bool   `json:"s,omitempty"`
}

// groupRecord is what groups/<id> holds. Each machine is one string: its id,
// kind and flags, address, then its tasks as job:first-last@attempt, where
// attempts count up along the range and belong to a claim of the table.
type groupRecord struct {
	Part     Part        `json:"p"`
	Claims   []uint64    `json:"c,omitempty"`
	Kinds    []groupKind `json:"k,omitempty"`
	Jobs     []JobID     `json:"j,omitempty"`
	Machines []string    `json:"m"`
	W        string      `json:"w"`
}

type listedTask struct {
	task    TaskID
	attempt Attempt
}

// listedMachine is a machine as a record lists it.
type listedMachine struct {
	id       MachineID
	kind     groupKind
	addr     string
	returned bool
	booting  bool
	tasks    []listedTask
}

const attemptBits = 20

// packAddr shortens an IPv4 address with its port to 8 characters.
func packAddr(a string) string {
	if ap, err := netip.ParseAddrPort(a); err == nil && ap.Addr().Is4() && ap.String() == a {
		ip := ap.Addr().As4()
		return base64.RawURLEncoding.EncodeToString([]byte{ip[0], ip[1], ip[2], ip[3], byte(ap.Port() >> 8), byte(ap.Port())})
	}
	if a == "" || strings.ContainsAny(a, " \n") {
		return "."
	}
	return "=" + a
}

func unpackAddr(s string) (string, error) {
	if s == "." {
		return "", nil
	}
	if strings.HasPrefix(s, "=") {
		return s[1:], nil
	}
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil || len(b) != 6 {
		return "", errors.New("address")
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), uint16(b[4])<<8|uint16(b[5])).String(), nil
}

func encodeGroup(part Part, ms []listedMachine, nonce string) []byte {
	rec := groupRecord{Part: part, W: nonce, Machines: make([]string, 0, len(ms))}
	kinds, jobs, claims := map[groupKind]int{}, map[JobID]int{}, map[uint64]int{}
	var b []byte
	for i := range ms {
		m := &ms[i]
		k, ok := kinds[m.kind]
		if !ok {
			k = len(rec.Kinds)
			kinds[m.kind] = k
			rec.Kinds = append(rec.Kinds, m.kind)
		}
		b = append(b[:0], m.id...)
		b = append(b, ' ')
		b = strconv.AppendInt(b, int64(k), 10)
		if m.returned {
			b = append(b, 'r')
		}
		if m.booting {
			b = append(b, 'b')
		}
		b = append(b, ' ')
		b = append(b, packAddr(m.addr)...)
		for n := 0; n < len(m.tasks); {
			t := m.tasks[n]
			last := n
			for last+1 < len(m.tasks) && m.tasks[last+1].task.Job == t.task.Job && m.tasks[last+1].task.Index == m.tasks[last].task.Index+1 &&
				m.tasks[last+1].attempt == m.tasks[last].attempt+1 {
				last++
			}
			j, ok := jobs[t.task.Job]
			if !ok {
				j = len(rec.Jobs)
				jobs[t.task.Job] = j
				rec.Jobs = append(rec.Jobs, t.task.Job)
			}
			claim := uint64(t.attempt) >> attemptBits
			k, ok := claims[claim]
			if !ok {
				k = len(rec.Claims)
				claims[claim] = k
				rec.Claims = append(rec.Claims, claim)
			}
			b = append(b, ' ')
			b = strconv.AppendInt(b, int64(j), 10)
			b = append(b, ':')
			b = strconv.AppendInt(b, int64(t.task.Index), 10)
			if last > n {
				b = append(b, '-')
				b = strconv.AppendInt(b, int64(m.tasks[last].task.Index), 10)
			}
			b = append(b, '@')
			if k > 0 {
				b = strconv.AppendInt(b, int64(k), 10)
				b = append(b, '.')
			}
			b = strconv.AppendUint(b, uint64(t.attempt)&(1<<attemptBits-1), 36)
			n = last + 1
		}
		rec.Machines = append(rec.Machines, string(b))
	}
	v, _ := json.Marshal(rec)
	return v
}

// decodeGroup reads a record; whatever makes no sense in it is an error, as a
// task that is overlooked could run twice.
func decodeGroup(v []byte) (Part, []listedMachine, error) {
	var rec groupRecord
	if err := json.Unmarshal(v, &rec); err != nil {
		return 0, nil, fmt.Errorf("reading group: %w", err)
	}
	if rec.Machines == nil {
		return 0, nil, errors.New("group without machines")
	}
	out := make([]listedMachine, 0, len(rec.Machines))
	for _, s := range rec.Machines {
		f := strings.Split(s, " ")
		if len(f) < 3 || f[0] == "" {
			return 0, nil, fmt.Errorf("machine %q", s)
		}
		m := listedMachine{id: MachineID(f[0])}
		kind := strings.TrimRight(f[1], "rb")
		m.returned, m.booting = strings.Contains(f[1], "r"), strings.Contains(f[1], "b")
		k, err := strconv.Atoi(kind)
		if err != nil || k < 0 || k >= len(rec.Kinds) {
			return 0, nil, fmt.Errorf("machine %q: kind", s)
		}
		m.kind = rec.Kinds[k]
		if m.addr, err = unpackAddr(f[2]); err != nil {
			return 0, nil, fmt.Errorf("machine %q: %w", s, err)
		}
		for _, t := range f[3:] {
			if err := m.addTasks(&rec, t); err != nil {
				return 0, nil, fmt.Errorf("machine %q: %w", s, err)
			}
		}
		out = append(out, m)
	}
	return rec.Part, out, nil
}

func (m *listedMachine) addTasks(rec *groupRecord, s string) error {
	bad := fmt.Errorf("tasks %q", s)
	where, attempt, ok := strings.Cut(s, "@")
	job, span, ok2 := strings.Cut(where, ":")
	j, err := strconv.Atoi(job)
	if !ok || !ok2 || err != nil || j < 0 || j >= len(rec.Jobs) {
		return bad
	}
	lo, hi, two := strings.Cut(span, "-")
	from, err := strconv.Atoi(lo)
	to := from
	if err == nil && two {
		to, err = strconv.Atoi(hi)
	}
	claim := 0
	if k, a, ok := strings.Cut(attempt, "."); ok && err == nil {
		claim, err = strconv.Atoi(k)
		attempt = a
	}
	n, err2 := strconv.ParseUint(attempt, 36, attemptBits)
	if err != nil || err2 != nil || from < 0 || to < from || to > 100_000 || claim < 0 || claim >= len(rec.Claims) {
		return bad
	}
	for i := from; i <= to; i++ {
		m.tasks = append(m.tasks, listedTask{TaskID{Job: rec.Jobs[j], Index: i}, Attempt(rec.Claims[claim]<<attemptBits | n + uint64(i-from))})
	}
	return nil
}
