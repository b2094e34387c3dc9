package scheduler

// tickStoreAccess sends the requests that maintain the member's lease and its state cache,
// which is loaded by one list and then updated by watches. When a watch returns, the cache
// contains every change that precedes the sending of the watch.
func (c *Controller) tickStoreAccess() {
	actions := c.store.storeAccess.Tick(c.now.MonotonicMS)
	if link := c.store.storeAccess.Link(c.now.MonotonicMS); link != c.store.lastStoreLink {
		c.store.lastStoreLink = link
		c.log(Info, "state service link changed", "link", link)
	}
	if actions.GrantLease {
		c.requestLease()
	}
	if actions.RenewLease != 0 {
		c.renewLease(actions.RenewLease)
	}
	if actions.ListRecords {
		c.listLiveRecords(actions.RefreshID)
	}
	if actions.WatchRecords {
		c.watchLiveRecords(actions.RefreshID)
	}
}

func (c *Controller) requestLease() {
	op := StoreOp{Kind: StoreGrantLease, DurationMS: c.store.leaseTTLMS()}
	c.store.sendStore(op, func(r StoreResult) {
		c.store.storeAccess.CompleteLeaseRequest(c.now.MonotonicMS, r.Outcome, r.LeaseID)
	})
}

func (c *Controller) renewLease(leaseID uint64) {
	c.store.sendStore(StoreOp{Kind: StoreRenewLease, LeaseID: leaseID}, func(r StoreResult) {
		lost := c.store.storeAccess.CompleteLeaseRequest(c.now.MonotonicMS, r.Outcome, 0)
		if !lost {
			return
		}
		// The state service has removed every claim that was attached to the lease.
		c.log(Warn, "lease lost", "shards", len(c.shards.ownedShards))
		for _, s := range sortedByKey(c.shards.ownedShards) {
			c.shards.dropShard(s)
		}
	})
}

func (c *Controller) listLiveRecords(refreshID uint64) {
	c.store.listAll(livePrefix, func(kvs []KeyValue, rev uint64, outcome Outcome) {
		c.cache.completeUntilMS = c.store.storeAccess.CacheRefreshSentAt()
		if outcome == OK {
			c.cache.applySnapshot(kvs, rev)
		}
		c.store.storeAccess.CompleteCacheRefresh(c.now.MonotonicMS, refreshID, outcome, c.rng.Float64())
	})
}

func (c *Controller) watchLiveRecords(refreshID uint64) {
	op := StoreOp{
		Kind:       StoreWatch,
		Key:        livePrefix,
		Rev:        c.cache.appliedRevision,
		DurationMS: c.store.leaseRenewalIntervalMS(),
	}
	c.store.sendStore(op, func(r StoreResult) {
		c.cache.completeUntilMS = c.store.storeAccess.CacheRefreshSentAt()
		current := c.store.storeAccess.CompleteCacheRefresh(c.now.MonotonicMS, refreshID, r.Outcome, c.rng.Float64())
		if current && r.Outcome == OK {
			c.cache.applyWatchResult(r)
		}
	})
}
