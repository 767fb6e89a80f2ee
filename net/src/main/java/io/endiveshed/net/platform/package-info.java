/** HTTP client of the platform's object API and instance list, and the call budget of one process. */
package io.endiveshed.net.platform;
