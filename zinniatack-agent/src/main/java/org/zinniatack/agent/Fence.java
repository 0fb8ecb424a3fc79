package org.zinniatack.agent;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Refuses orders of a leader that was followed by another. It stands before engines that
 * do not refuse old fencing numbers themselves.
 */
final class Fence {

	private long newestEpoch;

	/** Notes an epoch that is in force somewhere. */
	synchronized void learn(long epoch) {
		this.newestEpoch = Math.max(this.newestEpoch, epoch);
	}

	/** Lets an order pass that carries the newest epoch seen or a newer one. */
	synchronized void require(long epoch) throws ServiceException {
		if (epoch < this.newestEpoch) {
			throw ServiceException.of(ResultCode.FENCED, "epoch " + epoch + " is older than " + this.newestEpoch);
		}
		this.newestEpoch = epoch;
	}

	synchronized long newestEpoch() {
		return this.newestEpoch;
	}

}
