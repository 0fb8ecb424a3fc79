package org.zinniatack.core.job;

/**
 * The owners whose job of a name a call may mean.
 */
public enum OwnerMatch {

	/** Only a job of exactly the owner in the call. */
	EXACT,

	/**
	 * The owner's job, else the one that nobody owns. A job without an owner was accepted
	 * without a customer, so it is open to whoever knows its name.
	 */
	OWN_OR_NOBODYS,

	/**
	 * Nobody's job, else the only one of the name, whoever owns it: where no customers
	 * are configured, a call cannot state an owner.
	 */
	ANYBODYS;

	/**
	 * Returns whether a call may mean a job of the same name.
	 * @param callOwner the owner in the call, empty for none
	 * @param jobOwner the owner of the job, empty for none
	 * @return true if it may, whatever other jobs there are
	 */
	boolean allows(String callOwner, String jobOwner) {
		return callOwner.equals(jobOwner) || this == ANYBODYS || (this == OWN_OR_NOBODYS && jobOwner.isEmpty());
	}

}
