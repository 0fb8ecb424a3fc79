/**
 * Event streams: the framing of the events that targets send.
 */
@NullMarked
package org.zinniatack.gateway.event;

import org.jspecify.annotations.NullMarked;
