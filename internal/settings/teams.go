package settings

import "stairrelay/internal/cluster"

// checkTeamsPresent checks that there are teams.
func (f *platformFile) checkTeamsPresent() error {
	if len(f.Cluster.Teams) == 0 {
		return fieldErrorf("cluster.teams", "missing")
	}
	return nil
}

// checkTeams checks the names and quotas of the teams.
func (f *platformFile) checkTeams() error {
	seen := map[string]bool{}
	for _, team := range f.Cluster.Teams {
		if team.Name == "" || seen[team.Name] {
			return fieldErrorf("cluster.teams.name", "%q is missing or repeated", team.Name)
		}
		seen[team.Name] = true
		if err := team.checkAmounts(); err != nil {
			return err
		}
	}
	return nil
}

// checkAmounts checks the team's guaranteed quota and quota limit.
func (t *teamTable) checkAmounts() error {
	for _, amount := range []float64{t.CPUs, t.GPUs, t.CPUsMax, t.GPUsMax} {
		if amount < 0 {
			return fieldErrorf("cluster.teams", "%s has an amount below 0", t.Name)
		}
		if err := checkRange("cluster.teams", amount, maxAmount); err != nil {
			return err
		}
	}
	return nil
}

// setTeams sets the teams and warns of those with contradictory quotas.
func (s *Settings) setTeams(tables []teamTable) {
	for _, table := range tables {
		team := table.team()
		if team.QuotaLimit.CPU < team.GuaranteedQuota.CPU || team.QuotaLimit.GPU < team.GuaranteedQuota.GPU {
			s.warnf("cluster.teams: %s is guaranteed more than its limit; the limit holds", team.Name)
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

// quotaLimit converts a team's limit, of which 0 means that there is none. Read as a
// limit of nothing, it would make every job of such a team fail with 422.
func quotaLimit(most float64) cluster.Amount {
	if most == 0 {
		return cluster.NoLimit
	}
	return cluster.FloorAmount(most)
}

// setSLOs sets the service-level objectives.
func (s *Settings) setSLOs(tables []sloTable) {
	for _, table := range tables {
		s.Controller.SLOs = append(s.Controller.SLOs, cluster.SLO(table))
	}
}
