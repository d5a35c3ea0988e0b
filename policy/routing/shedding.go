package routing

// isOverQuota: the tenant has had its share of views lately; such a view must not crowd out others.
func (r *Router) isOverQuota(tenant int) bool {
	return tenant < len(r.tenantQuotas) && r.settings.Tenants[tenant].QuotaPerSecond > 0 &&
		!r.tenantQuotas[tenant].take(r.settings.Tenants[tenant].QuotaPerSecond/float64(max(1, r.settings.Routers)), r.now)
}
