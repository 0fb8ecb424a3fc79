/**
 * Finds requests that crash targets and keeps them away from further targets.
 */
@org.jspecify.annotations.NullMarked
package org.zinniatack.gateway.suspect;
