package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/hazelpitch/hazelpitch/platform"
)

// freezeTime is how long two controllers stand still; the site's node_freeze has 4 s.
const freezeTime = 4 * time.Second

// runFrozenVoters freezes two of five controllers for 4 s while an empty controller joins, the first half of a planned replacement.
// Meanwhile a configuration is acknowledged, and right after that two others lose their disks, as many as may be lost. Once all are
// back, the configuration must be read back, and requests must be served. JOIN=0 in the environment leaves out the joining controller.
func runFrozenVoters(record *record, trouble bool) error {
	deployment, err := startDeployment(record, options{controllers: 5, relays: 2})
	if err != nil {
		return err
	}
	defer deployment.close()
	if err := deployment.serveBefore(); err != nil {
		return err
	}
	if !trouble {
		if err := deployment.putConfiguration(); err != nil {
			return err
		}
		return deployment.judge([]int{1, 2, 3, 4, 5}, time.Now())
	}
	others, err := deployment.followers()
	if err != nil {
		return err
	}
	frozen, wiped := others[2:], []int{deployment.leader, others[0]}
	record.printf("core-%d and core-%d stand still for %v", frozen[0], frozen[1], freezeTime)
	frozenAt := time.Now()
	for _, number := range frozen {
		deployment.controllers[number-1].signal(syscall.SIGSTOP)
	}
	time.Sleep(time.Until(frozenAt.Add(1500 * time.Millisecond)))
	running := []int{1, 2, 3, 4, 5}
	if os.Getenv("JOIN") != "0" {
		record.printf("core-6 starts with an empty disk")
		if err := deployment.startController(6, false); err != nil {
			return err
		}
		running = append(running, 6)
	}
	time.Sleep(time.Until(frozenAt.Add(2800 * time.Millisecond)))
	err = deployment.putConfiguration()
	acknowledged := err == nil && time.Since(frozenAt) < freezeTime-100*time.Millisecond
	if !acknowledged {
		return errors.Join(errors.New("the configuration is not acknowledged while the two stand still"), err)
	}
	record.printf("core-%d and core-%d lose their disks", wiped[0], wiped[1])
	for _, number := range wiped {
		deployment.controllers[number-1].kill()
		if err := os.RemoveAll(filepath.Join(deployment.directory, fmt.Sprintf("core-%d.data", number))); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(frozenAt.Add(freezeTime)))
	record.printf("the two that stood still go on, and the two with empty disks start")
	for _, number := range frozen {
		deployment.controllers[number-1].signal(syscall.SIGCONT)
	}
	for _, number := range wiped {
		if err := deployment.startController(number, false); err != nil {
			return err
		}
	}
	return deployment.judge(running, time.Now())
}

// followers finds the leader, which alone returns the configuration itself, and returns the numbers of the other controllers.
func (d *deployment) followers() ([]int, error) {
	client := http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	d.leader = 0
	var others []int
	for number := 1; number <= d.options.controllers; number++ {
		answer, err := client.Get("http://" + d.control(number) + platform.PathConfiguration)
		if err != nil {
			return nil, err
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			d.leader = number
			continue
		}
		others = append(others, number)
	}
	if d.leader == 0 || len(others) != d.options.controllers-1 {
		return nil, errors.New("the leader is not known")
	}
	d.record.printf("core-%d leads", d.leader)
	return others, nil
}
