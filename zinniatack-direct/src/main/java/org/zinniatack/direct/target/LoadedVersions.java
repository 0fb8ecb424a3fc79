package org.zinniatack.direct.target;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.zinniatack.core.directory.TargetNotice;

/**
 * The weight versions that targets are known to have, from announcements, reports and
 * answers. All methods must be called on one thread.
 */
public final class LoadedVersions {

	private final Map<String, Map<String, Long>> versionsByTarget = new HashMap<>();

	private final Map<String, Long> bornMsByTarget = new HashMap<>();

	private final Set<Loading> loading = new HashSet<>();

	/**
	 * Notes that a target has a version.
	 * @param notice the target
	 * @param model the model
	 * @param version the version
	 */
	public void recordVersion(TargetNotice notice, String model, long version) {
		ofStart(notice).put(model, version);
	}

	/**
	 * Returns the version of a model that a target has.
	 * @param notice the target
	 * @param model the model
	 * @return the version, or empty if it does not have the model
	 */
	public OptionalLong version(TargetNotice notice, String model) {
		Long announced = notice.weightVersions().get(model);
		Long seen = ofStart(notice).get(model);
		if (announced == null && seen == null) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(Math.max((announced != null) ? announced : 0, (seen != null) ? seen : 0));
	}

	/**
	 * Forgets what was seen of a target, so that only its announcements count.
	 * @param notice the target
	 * @param model the model
	 */
	public void forget(TargetNotice notice, String model) {
		ofStart(notice).remove(model);
	}

	private Map<String, Long> ofStart(TargetNotice notice) {
		Long before = this.bornMsByTarget.put(notice.id(), notice.bornMs());
		if (before != null && before != notice.bornMs()) {
			this.versionsByTarget.remove(notice.id());
			this.loading.removeIf((load) -> load.targetId().equals(notice.id()));
		}
		return this.versionsByTarget.computeIfAbsent(notice.id(), (absent) -> new HashMap<>());
	}

	/**
	 * Notes whether a target is loading a model, in which time it starts no request of
	 * the model.
	 * @param targetId the id of the target
	 * @param model the model
	 * @param isLoading true while it loads
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
	 * @return true while it loads
	 */
	public boolean isLoading(String targetId, String model) {
		return this.loading.contains(new Loading(targetId, model));
	}

	/**
	 * A model that a target loads.
	 *
	 * @param targetId the id of the target
	 * @param model the model
	 */
	private record Loading(String targetId, String model) {
	}

}
