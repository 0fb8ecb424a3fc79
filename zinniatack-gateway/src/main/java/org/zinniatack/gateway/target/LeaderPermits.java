package org.zinniatack.gateway.target;

import org.zinniatack.control.ColdTargets;
import org.zinniatack.core.directory.TargetNotice;

/**
 * The permits of the leader for its own requests.
 *
 * @param coldTargets the permits that it shares with the entries
 */
public record LeaderPermits(ColdTargets coldTargets) implements SendPermits {

	@Override
	public boolean isAvailable(TargetNotice target, long nowMs) {
		return this.coldTargets.isAvailable(target);
	}

	@Override
	public boolean take(TargetNotice target, long nowMs) {
		return this.coldTargets.take(target);
	}

	@Override
	public boolean request(TargetNotice target, long nowMs) {
		return false;
	}

}
