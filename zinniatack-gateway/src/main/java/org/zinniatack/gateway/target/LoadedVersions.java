package org.zinniatack.gateway.target;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.zinniatack.core.directory.TargetNotice;

/**
 * Tracks the weight versions of targets by their announcements, reports and answers. All
 * methods must be called on one thread.
 */
public final class LoadedVersions {

	private final Map<String, Map<String, Long>> observedByTarget = new HashMap<>();

	private final Map<String, Long> startMsByTarget = new HashMap<>();

	private final Set<Loading> loading = new HashSet<>();

	/**
	 * Records that a target has loaded a version.
	 * @param target the target
	 * @param model the model
	 * @param version the version
	 */
	public void recordVersion(TargetNotice target, String model, long version) {
		observedVersions(target).put(model, version);
	}

	/**
	 * Returns the highest known version of a model at a target.
	 * @param target the target
	 * @param model the model
	 * @return the version, or empty if the target does not have the model
	 */
	public OptionalLong version(TargetNotice target, String model) {
		Long announced = target.weightVersions().get(model);
		Long observed = observedVersions(target).get(model);
		if (announced == null && observed == null) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(Math.max((announced != null) ? announced : 0, (observed != null) ? observed : 0));
	}

	/**
	 * Discards the recorded version of a model, so that only announcements count.
	 * @param target the target
	 * @param model the model
	 */
	public void forget(TargetNotice target, String model) {
		observedVersions(target).remove(model);
	}

	/** Returns the recorded versions of a target, which are cleared by a restart. */
	private Map<String, Long> observedVersions(TargetNotice target) {
		Long previousStartMs = this.startMsByTarget.put(target.id(), target.bornMs());
		if (previousStartMs != null && previousStartMs != target.bornMs()) {
			this.observedByTarget.remove(target.id());
			this.loading.removeIf((load) -> load.targetId().equals(target.id()));
		}
		return this.observedByTarget.computeIfAbsent(target.id(), (absent) -> new HashMap<>());
	}

	/**
	 * Records whether a target is loading a model. Meanwhile it starts no request of the
	 * model.
	 * @param targetId the id of the target
	 * @param model the model
	 * @param isLoading true if it is loading
	 */
	public void setLoading(String targetId, String model, boolean isLoading) {
		if (isLoading) {
			this.loading.add(new Loading(targetId, model));
		}
		else {
			this.loading.remove(new Loading(targetId, model));
		}
	}

	/**
	 * Returns whether a target is loading a model.
	 * @param targetId the id of the target
	 * @param model the model
	 * @return true if it is loading
	 */
	public boolean isLoading(String targetId, String model) {
		return this.loading.contains(new Loading(targetId, model));
	}

	/**
	 * A model that a target is loading.
	 *
	 * @param targetId the id of the target
	 * @param model the model
	 */
	private record Loading(String targetId, String model) {
	}

}
