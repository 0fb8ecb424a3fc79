package org.zinniatack.core.weight;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides the targets of a pool among the models that are trained on it, so that only the
 * targets assigned to a model load its new versions.
 */
public final class ModelShares {

	private static final int MIN_TARGETS = 2;

	private ModelShares() {
	}

	/**
	 * Returns how many targets are assigned to each model, in proportion to its work.
	 * Each model gets at least two targets if there are enough, so that it can lose one.
	 * @param targetCount the number of targets
	 * @param workByModel the amount of work of each model, in any unit
	 * @return the number of targets by model, at least 1 each
	 */
	public static Map<String, Integer> targetsByModel(int targetCount, Map<String, Long> workByModel) {
		Map<String, Integer> shares = new TreeMap<>();
		int minTargets = (targetCount >= MIN_TARGETS * workByModel.size()) ? MIN_TARGETS : 1;
		workByModel.keySet().forEach((model) -> shares.put(model, minTargets));
		for (int remaining = targetCount - minTargets * workByModel.size(); remaining > 0; remaining--) {
			shares.entrySet()
				.stream()
				.max(Comparator.comparingDouble((Map.Entry<String, Integer> share) -> workByModel.get(share.getKey())
						/ (double) share.getValue()))
				.ifPresent((mostLoaded) -> mostLoaded.setValue(mostLoaded.getValue() + 1));
		}
		return shares;
	}

	/**
	 * A target and the versions that it has loaded.
	 *
	 * @param id the id of the target
	 * @param versions the loaded version by model; a version that is being loaded counts
	 * as loaded
	 * @param workCount the number of requests that it runs
	 */
	public record TargetVersions(String id, Map<String, Long> versions, int workCount) {

		/**
		 * Copies the arguments.
		 */
		public TargetVersions {
			versions = Map.copyOf(versions);
		}

		/**
		 * Returns the loaded version of a model.
		 * @param model the model
		 * @return the version, 0 if it does not have the model
		 */
		long version(String model) {
			return this.versions.getOrDefault(model, 0L);
		}

		/** Returns the sum of the loaded versions of all other models. */
		long otherVersionsSum(String model) {
			return this.versions.entrySet()
				.stream()
				.filter((entry) -> !entry.getKey().equals(model))
				.mapToLong(Map.Entry::getValue)
				.sum();
		}

	}

}
