package settings

import "stairrelay/internal/cluster"

// checkTeamsPresent checks that the file has at least one team.
func (f *platformFile) checkTeamsPresent() error {
	if len(f.Cluster.Teams) == 0 {
		return fieldErrorf("cluster.teams", "missing")
	}
	return nil
}

// checkTeams checks that the team names are set and unique, and that the quotas are
// valid.
func (f *platformFile) checkTeams() error {
	seen := map[string]bool{}
	for _, team := range f.Cluster.Teams {
		if team.Name == "" || seen[team.Name] {
			return fieldErrorf("cluster.teams.name", "%q is empty or duplicated", team.Name)
		}
		seen[team.Name] = true
		if err := team.checkQuotas(); err != nil {
			return err
		}
	}
	return nil
}

// checkQuotas checks the team's guaranteed quota and quota limit.
func (t *teamTable) checkQuotas() error {
	for _, amount := range []float64{t.CPUs, t.GPUs, t.CPUsMax, t.GPUsMax} {
		if amount < 0 {
			return fieldErrorf("cluster.teams", "team %s has a quota below 0", t.Name)
		}
		if err := checkRange("cluster.teams", amount, maxQuota); err != nil {
			return err
		}
	}
	return nil
}

// setTeams sets the teams and adds a warning for each whose guaranteed quota exceeds
// its quota limit.
func (s *Settings) setTeams(tables []teamTable) {
	for _, table := range tables {
		team := table.team()
		if team.QuotaLimit.CPU < team.GuaranteedQuota.CPU || team.QuotaLimit.GPU < team.GuaranteedQuota.GPU {
			s.warnf("cluster.teams: %s has a guaranteed quota above its quota limit; the limit applies", team.Name)
		}
		s.Controller.Teams = append(s.Controller.Teams, team)
	}
}

func (t *teamTable) team() cluster.Team {
	return cluster.Team{
		Name:            t.Name,
		GuaranteedQuota: cluster.Resources{CPU: cluster.FloorAmount(t.CPUs), GPU: cluster.FloorAmount(t.GPUs)},
		QuotaLimit:      cluster.Resources{CPU: quotaLimit(t.CPUsMax), GPU: quotaLimit(t.GPUsMax)},
	}
}

// quotaLimit converts a team's quota limit, where 0 means no limit. If 0 were converted
// to a limit of 0, every job of the team would be rejected with status 422.
func quotaLimit(limit float64) cluster.Amount {
	if limit == 0 {
		return cluster.NoLimit
	}
	return cluster.FloorAmount(limit)
}

func (s *Settings) setSLOs(tables []sloTable) {
	for _, table := range tables {
		s.Controller.SLOs = append(s.Controller.SLOs, cluster.SLO(table))
	}
}
