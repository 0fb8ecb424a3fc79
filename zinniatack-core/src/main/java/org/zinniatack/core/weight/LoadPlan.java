package org.zinniatack.core.weight;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.zinniatack.core.weight.ModelShares.TargetVersions;

/**
 * Chooses the targets that load a new version of a model. Jobs accept versions that are
 * one behind, so the targets of a model alternate: half of them load each version while
 * the other half serves the next step. A model is thus served by twice as many targets
 * with the same number of loads.
 */
public final class LoadPlan {

	/** Targets alternate in two halves. */
	private static final int HALVES = 2;

	private LoadPlan() {
	}

	/**
	 * Chooses the targets that should load the newest version. Targets with a newer
	 * version of the model are preferred, then those with the lowest versions of other
	 * models, then those with the fewest requests.
	 * @param demand the versions that the model needs
	 * @param targets the targets of the pool with their versions; a version that is being
	 * loaded counts as loaded
	 * @return the loads in the order in which they should start
	 */
	public static List<Load> loads(Demand demand, Collection<TargetVersions> targets) {
		List<TargetVersions> serving = targets.stream()
			.filter((target) -> target.versions().containsKey(demand.model()))
			.sorted(Comparator.comparingLong((TargetVersions target) -> -target.version(demand.model()))
				.thenComparingLong((target) -> target.otherVersionsSum(demand.model()))
				.thenComparingInt(TargetVersions::workCount)
				.thenComparing(TargetVersions::id))
			.limit((long) HALVES * demand.loadsPerVersion())
			.toList();
		long newestCount = serving.stream()
			.filter((target) -> target.version(demand.model()) >= demand.newest())
			.count();
		long unusableCount = serving.stream().filter((target) -> isUnusable(target, demand)).count();
		long loadCount = Math.max(unusableCount, demand.loadsPerVersion() - newestCount);
		return serving.stream()
			.filter((target) -> target.version(demand.model()) < demand.newest())
			.sorted(Comparator.comparingLong((TargetVersions target) -> target.version(demand.model()))
				.thenComparingInt(TargetVersions::workCount)
				.thenComparing(TargetVersions::id))
			.limit(Math.max(0, loadCount))
			.map((target) -> new Load(target.id(), isUnusable(target, demand)))
			.toList();
	}

	private static boolean isUnusable(TargetVersions target, Demand demand) {
		return target.version(demand.model()) < demand.oldestUsable();
	}

	/**
	 * The versions that a model needs and the number of loads for each.
	 *
	 * @param model the model
	 * @param newest the newest announced version
	 * @param oldestUsable the oldest version that the next step accepts
	 * @param loadsPerVersion the number of targets that load each version
	 */
	public record Demand(String model, long newest, long oldestUsable, int loadsPerVersion) {
	}

	/**
	 * A load of the newest version by one target.
	 *
	 * @param id the id of the target
	 * @param urgent true if the target cannot serve the next step without it
	 */
	public record Load(String id, boolean urgent) {

		/**
		 * Returns whether the load may start now. A load that lets requests finish first
		 * blocks its target until the longest of them ends, so it waits for long ones
		 * unless it is urgent.
		 * @param keepsRunning true if running requests continue under the new version
		 * @param longItemCount the number of long items that the target generates
		 * @return true if it need not wait
		 */
		public boolean mayStart(boolean keepsRunning, int longItemCount) {
			return this.urgent || keepsRunning || longItemCount == 0;
		}

	}

}
