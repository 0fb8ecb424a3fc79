package org.zinniatack.gateway.weight;

/**
 * Callback that moves long items away from a target before it loads weights.
 */
@FunctionalInterface
public interface LongItemMover {

	/**
	 * Moves the long items of a model to other targets, as far as those have room.
	 * @param targetId the id of the target that is about to load the model
	 * @param model the model
	 */
	void moveLongItems(String targetId, String model);

}
