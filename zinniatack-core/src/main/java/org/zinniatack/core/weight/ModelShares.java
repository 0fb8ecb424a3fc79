package org.zinniatack.core.weight;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides the targets of a pool among the models that are trained there, so that a new
 * version of one model is loaded by the targets that serve it and by no others.
 */
public final class ModelShares {

	private static final int LEAST_TARGETS = 2;

	private ModelShares() {
	}

	/**
	 * Returns how many targets keep up with each model: as many in all as there are
	 * targets, by need, but at least two each where there are enough, so that one may be
	 * lost.
	 * @param targetCount the number of targets
	 * @param needs how much work each model has, in any unit
	 * @return the number of targets by model, at least 1 each
	 */
	public static Map<String, Integer> targetsByModel(int targetCount, Map<String, Long> needs) {
		Map<String, Integer> shares = new TreeMap<>();
		int least = (targetCount >= LEAST_TARGETS * needs.size()) ? LEAST_TARGETS : 1;
		needs.keySet().forEach((model) -> shares.put(model, least));
		for (int left = targetCount - least * needs.size(); left > 0; left--) {
			shares.entrySet()
				.stream()
				.max(Comparator.comparingDouble(
						(Map.Entry<String, Integer> share) -> needs.get(share.getKey()) / (double) share.getValue()))
				.ifPresent((neediest) -> neediest.setValue(neediest.getValue() + 1));
		}
		return shares;
	}

	/**
	 * A target with what it has loaded.
	 *
	 * @param id the id
	 * @param versions the loaded version by model, a version on its way counting as
	 * loaded
	 * @param workCount the requests that it runs
	 */
	public record TargetVersions(String id, Map<String, Long> versions, int workCount) {

		/**
		 * Copies the arguments.
		 */
		public TargetVersions {
			versions = Map.copyOf(versions);
		}

		/**
		 * Returns the version of a model.
		 * @param model the model
		 * @return the version, 0 if it does not have the model
		 */
		long version(String model) {
			return this.versions.getOrDefault(model, 0L);
		}

		/** Returns how far the target has kept up with other models. */
		long otherVersionsSum(String model) {
			return this.versions.entrySet()
				.stream()
				.filter((entry) -> !entry.getKey().equals(model))
				.mapToLong(Map.Entry::getValue)
				.sum();
		}

	}

}
