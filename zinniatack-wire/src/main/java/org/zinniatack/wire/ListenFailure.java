package org.zinniatack.wire;

import java.net.BindException;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Why a process cannot listen on an address.
 */
public final class ListenFailure {

	private ListenFailure() {
	}

	/**
	 * Creates the exception for a failed attempt.
	 * @param address the address as {@code host:port}
	 * @param cause the cause
	 * @return an exception with ADDRESS_IN_USE if the port is taken, else with
	 * SETTINGS_INVALID
	 */
	public static ServiceException of(String address, @Nullable Throwable cause) {
		String detail = (cause != null) ? String.valueOf(cause.getMessage()) : "";
		// The same exception tells of an address that this host does not have.
		boolean taken = cause instanceof BindException && detail.contains("in use");
		return ServiceException.of(taken ? ResultCode.ADDRESS_IN_USE : ResultCode.SETTINGS_INVALID,
				"cannot listen on " + address + ": " + detail);
	}

}
