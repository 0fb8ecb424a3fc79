/**
 * The gateway: an entry process that sends requests directly to targets, without agents.
 */
@NullMarked
package org.zinniatack.gateway.service;

import org.jspecify.annotations.NullMarked;
