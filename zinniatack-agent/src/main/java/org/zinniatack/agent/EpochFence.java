package org.zinniatack.agent;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Rejects orders of deposed leaders by their epoch. This protects engines that do not
 * check fencing tokens themselves.
 */
final class EpochFence {

	private long newestEpoch;

	/** Records an epoch reported by an entry. */
	synchronized void observe(long epoch) {
		this.newestEpoch = Math.max(this.newestEpoch, epoch);
	}

	/** Accepts an order only if its epoch is not older than the newest one seen. */
	synchronized void require(long epoch) throws ServiceException {
		if (epoch < this.newestEpoch) {
			throw ServiceException.of(ResultCode.FENCED,
					"epoch " + epoch + " is older than the newest known epoch " + this.newestEpoch);
		}
		this.newestEpoch = epoch;
	}

	synchronized long newestEpoch() {
		return this.newestEpoch;
	}

}
