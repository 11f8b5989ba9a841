package core

import "strconv"

// recordNames counts the names given to records, so that none is given twice by
// one process. Of several processes and claims, the boot and the claim in the
// name differ.
type recordNames struct {
	groups  int
	rentals int
}

// groupName names a new group of a part.
func (c *Core) groupName(p *part) string {
	c.names.groups++
	return c.recordName(p, c.names.groups)
}

// rentalName names a new rental of a part.
func (c *Core) rentalName(p *part) string {
	c.names.rentals++
	return "r-" + c.recordName(p, c.names.rentals)
}

func (c *Core) recordName(p *part, number int) string {
	return c.cfg.Boot + "-" + strconv.FormatUint(uint64(p.claim), 10) + "-" + strconv.Itoa(number)
}
