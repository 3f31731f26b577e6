     95 fd-b.vm0   vm_started               
     98 fd-b.vm0   configuration_in_force   version=1
    115 fd-a.vm1   vm_started               
    118 fd-a.vm1   configuration_in_force   version=1
    162 fd-a.vm0   vm_started               
    165 fd-a.vm0   configuration_in_force   version=1
    249 fd-c.vm0   vm_started               
    252 fd-c.vm0   configuration_in_force   version=1
    254 fd-b.vm1   vm_started               
    254 fd-c.vm1   vm_started               
    257 fd-b.vm1   configuration_in_force   version=1
    257 fd-c.vm1   configuration_in_force   version=1
   2095 fd-b.vm0   ownership_taken          count=1
   2100 fd-b.vm0   rebuild_done             count=1 detail=0 silent workers
   2115 fd-a.vm1   ownership_taken          count=1
   2121 fd-a.vm1   rebuild_done             count=1 detail=0 silent workers
   2162 fd-a.vm0   ownership_taken          count=2
   2163 fd-a.vm1   ownership_left           count=2 detail=fenced
   2168 fd-a.vm0   rebuild_done             count=2 detail=0 silent workers
   2249 fd-c.vm0   ownership_taken          count=1
   2255 fd-c.vm0   rebuild_done             count=1 detail=0 silent workers
   9004 fd-c.vm0   job_accepted             job=fd-c/fd-c.vm0-1a3185c50f9-1d count=2 detail=log
   9004 fd-c.vm0   job_placed               job=fd-c/fd-c.vm0-1a3185c50f9-1d attempt=fd-c/fd-c.vm0-1a3185c50f9-1d#1.1 count=2
   9004 fd-b.vm0   job_accepted             job=fd-b/fd-b.vm0-1a3185c505f-1a count=2 detail=log
   9004 fd-b.vm0   job_placed               job=fd-b/fd-b.vm0-1a3185c505f-1a attempt=fd-b/fd-b.vm0-1a3185c505f-1a#1.1 count=2
   9004 fd-a.vm0   job_accepted             job=fd-a/fd-a.vm0-1a3185c50a2-20 count=2 detail=log
   9004 fd-a.vm0   job_placed               job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#1.2 count=2
   9005 fd-c.w001  task_reserved            job=fd-c/fd-c.vm0-1a3185c50f9-1d attempt=fd-c/fd-c.vm0-1a3185c50f9-1d#1.1 target=fd-c.w001 count=1
   9005 fd-c.w000  task_reserved            job=fd-c/fd-c.vm0-1a3185c50f9-1d attempt=fd-c/fd-c.vm0-1a3185c50f9-1d#1.1 target=fd-c.w000 count=1
   9005 fd-b.w001  task_reserved            job=fd-b/fd-b.vm0-1a3185c505f-1a attempt=fd-b/fd-b.vm0-1a3185c505f-1a#1.1 target=fd-b.w001 count=1
   9006 fd-b.w000  task_reserved            job=fd-b/fd-b.vm0-1a3185c505f-1a attempt=fd-b/fd-b.vm0-1a3185c505f-1a#1.1 target=fd-b.w000 count=1
   9006 fd-a.w000  task_reserved            job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#1.2 target=fd-a.w000 count=1
   9006 fd-a.w001  task_reserved            job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#1.2 target=fd-a.w001 count=1
   9007 fd-c.w001  task_started             job=fd-c/fd-c.vm0-1a3185c50f9-1d attempt=fd-c/fd-c.vm0-1a3185c50f9-1d#1.1 target=fd-c.w001 count=1
   9007 fd-c.w000  task_started             job=fd-c/fd-c.vm0-1a3185c50f9-1d attempt=fd-c/fd-c.vm0-1a3185c50f9-1d#1.1 target=fd-c.w000 count=1
   9008 fd-b.w000  task_started             job=fd-b/fd-b.vm0-1a3185c505f-1a attempt=fd-b/fd-b.vm0-1a3185c505f-1a#1.1 target=fd-b.w000 count=1
   9008 fd-b.w001  task_started             job=fd-b/fd-b.vm0-1a3185c505f-1a attempt=fd-b/fd-b.vm0-1a3185c505f-1a#1.1 target=fd-b.w001 count=1
   9008 fd-a.w000  task_started             job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#1.2 target=fd-a.w000 count=1
   9008 fd-a.w001  task_started             job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#1.2 target=fd-a.w001 count=1
   9009 fd-c.vm0   job_started              job=fd-c/fd-c.vm0-1a3185c50f9-1d attempt=fd-c/fd-c.vm0-1a3185c50f9-1d#1.1 count=2
   9009 fd-b.vm0   job_started              job=fd-b/fd-b.vm0-1a3185c505f-1a attempt=fd-b/fd-b.vm0-1a3185c505f-1a#1.1 count=2
   9010 fd-a.vm0   job_started              job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#1.2 count=2
   9506 fd-c.vm0   job_accepted             job=fd-c/kcbc8316aa620c9dcdb00589f count=1 detail=log
   9506 fd-c.vm0   job_placed               job=fd-c/kcbc8316aa620c9dcdb00589f attempt=fd-c/kcbc8316aa620c9dcdb00589f#1.1 count=1
   9514 fd-c.w002  task_reserved            job=fd-c/kcbc8316aa620c9dcdb00589f attempt=fd-c/kcbc8316aa620c9dcdb00589f#1.1 target=fd-c.w002 count=1
   9516 fd-c.w002  task_started             job=fd-c/kcbc8316aa620c9dcdb00589f attempt=fd-c/kcbc8316aa620c9dcdb00589f#1.1 target=fd-c.w002 count=1
   9517 fd-c.vm0   job_started              job=fd-c/kcbc8316aa620c9dcdb00589f attempt=fd-c/kcbc8316aa620c9dcdb00589f#1.1 count=1
   9806 fd-a.vm0   job_accepted             job=fd-a/fd-c.vm0-1a3185c50f9-2f count=1 detail=log
   9806 fd-a.vm0   job_placed               job=fd-a/fd-c.vm0-1a3185c50f9-2f attempt=fd-a/fd-c.vm0-1a3185c50f9-2f#1.2 count=1
   9807 fd-a.w002  task_reserved            job=fd-a/fd-c.vm0-1a3185c50f9-2f attempt=fd-a/fd-c.vm0-1a3185c50f9-2f#1.2 target=fd-a.w002 count=1
   9810 fd-a.w002  task_started             job=fd-a/fd-c.vm0-1a3185c50f9-2f attempt=fd-a/fd-c.vm0-1a3185c50f9-2f#1.2 target=fd-a.w002 count=1
   9811 fd-a.vm0   job_started              job=fd-a/fd-c.vm0-1a3185c50f9-2f attempt=fd-a/fd-c.vm0-1a3185c50f9-2f#1.2 count=1
   9906 fd-a.vm0   job_accepted             job=fd-a/fd-b.vm0-1a3185c505f-28 count=1 detail=log
   9906 fd-a.vm0   job_placed               job=fd-a/fd-b.vm0-1a3185c505f-28 attempt=fd-a/fd-b.vm0-1a3185c505f-28#1.2 count=1
   9907 fd-a.w002  task_reserved            job=fd-a/fd-b.vm0-1a3185c505f-28 attempt=fd-a/fd-b.vm0-1a3185c505f-28#1.2 target=fd-a.w002 count=1
   9909 fd-a.w002  task_started             job=fd-a/fd-b.vm0-1a3185c505f-28 attempt=fd-a/fd-b.vm0-1a3185c505f-28#1.2 target=fd-a.w002 count=1
   9910 fd-a.vm0   job_started              job=fd-a/fd-b.vm0-1a3185c505f-28 attempt=fd-a/fd-b.vm0-1a3185c505f-28#1.2 count=1
   9952 fd-b.vm0   job_refused              job=fd-b/fd-b.vm1-1a3185c50fe-1d code=2003
  10506 fd-b.vm0   job_accepted             job=fd-b/fd-c.vm0-1a3185c50f9-34 count=2 detail=log
  10506 fd-b.vm0   job_evicting             job=fd-b/fd-b.vm0-1a3185c505f-1a attempt=fd-b/fd-b.vm0-1a3185c505f-1a#1.1 detail=fd-b/fd-c.vm0-1a3185c50f9-34
  10509 fd-b.w001  task_ended               job=fd-b/fd-b.vm0-1a3185c505f-1a attempt=fd-b/fd-b.vm0-1a3185c505f-1a#1.1 target=fd-b.w001 count=1 detail=stopped
  10510 fd-b.w000  task_ended               job=fd-b/fd-b.vm0-1a3185c505f-1a attempt=fd-b/fd-b.vm0-1a3185c505f-1a#1.1 target=fd-b.w000 count=1 detail=stopped
  10511 fd-b.vm0   job_placed               job=fd-b/fd-c.vm0-1a3185c50f9-34 attempt=fd-b/fd-c.vm0-1a3185c50f9-34#1.1 count=2
  10512 fd-b.w000  task_reserved            job=fd-b/fd-c.vm0-1a3185c50f9-34 attempt=fd-b/fd-c.vm0-1a3185c50f9-34#1.1 target=fd-b.w000 count=1
  10512 fd-b.w001  task_reserved            job=fd-b/fd-c.vm0-1a3185c50f9-34 attempt=fd-b/fd-c.vm0-1a3185c50f9-34#1.1 target=fd-b.w001 count=1
  10515 fd-b.w001  task_started             job=fd-b/fd-c.vm0-1a3185c50f9-34 attempt=fd-b/fd-c.vm0-1a3185c50f9-34#1.1 target=fd-b.w001 count=1
  10515 fd-b.w000  task_started             job=fd-b/fd-c.vm0-1a3185c50f9-34 attempt=fd-b/fd-c.vm0-1a3185c50f9-34#1.1 target=fd-b.w000 count=1
  10516 fd-b.vm0   job_started              job=fd-b/fd-c.vm0-1a3185c50f9-34 attempt=fd-b/fd-c.vm0-1a3185c50f9-34#1.1 count=2
  10609 fd-a.w002  task_ended               job=fd-a/fd-b.vm0-1a3185c505f-28 attempt=fd-a/fd-b.vm0-1a3185c505f-28#1.2 target=fd-a.w002 code=3 count=1 detail=failed
  12162 fd-a.vm0   job_evicting             job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#1.2 detail=fd-a/fd-b.vm0-1a3185c505f-28
  12165 fd-a.w000  task_ended               job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#1.2 target=fd-a.w000 count=1 detail=stopped
  12166 fd-a.w001  task_ended               job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#1.2 target=fd-a.w001 count=1 detail=stopped
  12167 fd-a.vm0   job_placed               job=fd-a/fd-b.vm0-1a3185c505f-28 attempt=fd-a/fd-b.vm0-1a3185c505f-28#2.2 count=1
  12168 fd-a.w000  task_reserved            job=fd-a/fd-b.vm0-1a3185c505f-28 attempt=fd-a/fd-b.vm0-1a3185c505f-28#2.2 target=fd-a.w000 count=1
  12170 fd-a.w000  task_started             job=fd-a/fd-b.vm0-1a3185c505f-28 attempt=fd-a/fd-b.vm0-1a3185c505f-28#2.2 target=fd-a.w000 count=1
  12171 fd-a.vm0   job_started              job=fd-a/fd-b.vm0-1a3185c505f-28 attempt=fd-a/fd-b.vm0-1a3185c505f-28#2.2 count=1
  12516 fd-c.w002  task_ended               job=fd-c/kcbc8316aa620c9dcdb00589f attempt=fd-c/kcbc8316aa620c9dcdb00589f#1.1 target=fd-c.w002 count=1 detail=finished
  12870 fd-a.w000  task_ended               job=fd-a/fd-b.vm0-1a3185c505f-28 attempt=fd-a/fd-b.vm0-1a3185c505f-28#2.2 target=fd-a.w000 code=3 count=1 detail=failed
  13504 fd-a.w002  task_ended               job=fd-a/fd-c.vm0-1a3185c50f9-2f attempt=fd-a/fd-c.vm0-1a3185c50f9-2f#1.2 target=fd-a.w002 count=1 detail=stopped
  13505 fd-a.vm0   job_placed               job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#2.2 count=2
  13506 fd-a.w001  task_reserved            job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#2.2 target=fd-a.w001 count=1
  13506 fd-a.w002  task_reserved            job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#2.2 target=fd-a.w002 count=1
  13509 fd-a.w001  task_started             job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#2.2 target=fd-a.w001 count=1
  13509 fd-a.w002  task_started             job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#2.2 target=fd-a.w002 count=1
  13509 fd-a.vm0   job_ended                job=fd-a/fd-c.vm0-1a3185c50f9-2f code=4003
  13510 fd-a.vm0   job_started              job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#2.2 count=2
  14515 fd-b.w000  task_ended               job=fd-b/fd-c.vm0-1a3185c50f9-34 attempt=fd-b/fd-c.vm0-1a3185c50f9-34#1.1 target=fd-b.w000 count=1 detail=finished
  14515 fd-b.w001  task_ended               job=fd-b/fd-c.vm0-1a3185c50f9-34 attempt=fd-b/fd-c.vm0-1a3185c50f9-34#1.1 target=fd-b.w001 count=1 detail=finished
  14912 fd-a.vm0   job_evicting             job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#2.2 detail=fd-a/fd-b.vm0-1a3185c505f-28
  14915 fd-a.w002  task_ended               job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#2.2 target=fd-a.w002 count=1 detail=stopped
  14915 fd-a.w001  task_ended               job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#2.2 target=fd-a.w001 count=1 detail=stopped
  14916 fd-a.vm0   job_placed               job=fd-a/fd-b.vm0-1a3185c505f-28 attempt=fd-a/fd-b.vm0-1a3185c505f-28#3.2 count=1
  14916 fd-a.vm0   job_placed               job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#3.2 count=2
  14918 fd-a.w002  task_reserved            job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#3.2 target=fd-a.w002 count=1
  14918 fd-a.w000  task_reserved            job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#3.2 target=fd-a.w000 count=1
  14918 fd-a.w001  task_reserved            job=fd-a/fd-b.vm0-1a3185c505f-28 attempt=fd-a/fd-b.vm0-1a3185c505f-28#3.2 target=fd-a.w001 count=1
  14920 fd-a.w001  task_started             job=fd-a/fd-b.vm0-1a3185c505f-28 attempt=fd-a/fd-b.vm0-1a3185c505f-28#3.2 target=fd-a.w001 count=1
  14920 fd-a.w002  task_started             job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#3.2 target=fd-a.w002 count=1
  14921 fd-a.w000  task_started             job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#3.2 target=fd-a.w000 count=1
  14921 fd-a.vm0   job_started              job=fd-a/fd-b.vm0-1a3185c505f-28 attempt=fd-a/fd-b.vm0-1a3185c505f-28#3.2 count=1
  14922 fd-a.vm0   job_started              job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#3.2 count=2
  15097 *** fault: Hit(number=0, process=Process(vm=ListedVm(vm='fd-b.vm0', failure_domain='fd-b', peer_address='127.0.0.1:20002', state=<VmState.LIVE: 'live'>), agent=<citronmount.agent.agent.Agent object at 0x7fc82a211ed0>, inca
  15104 fd-b.vm0   configuration_in_force   version=2 detail=fd-b
  15104 fd-b.vm0   configuration_answered   version=2 code=7000 detail=change-26
  15502 fd-c.vm0   job_ended                job=fd-c/kcbc8316aa620c9dcdb00589f code=1002
  15508 fd-b.vm0   job_ended                job=fd-b/fd-c.vm0-1a3185c50f9-34 code=1002
  15620 fd-a.w001  task_ended               job=fd-a/fd-b.vm0-1a3185c505f-28 attempt=fd-a/fd-b.vm0-1a3185c505f-28#3.2 target=fd-a.w001 code=3 count=1 detail=failed
  16118 fd-a.vm1   configuration_in_force   version=2 detail=fd-b
  16165 fd-a.vm0   configuration_in_force   version=2 detail=fd-b
  16252 fd-c.vm0   configuration_in_force   version=2 detail=fd-b
  16257 fd-b.vm1   configuration_in_force   version=2 detail=fd-b
  16257 fd-c.vm1   configuration_in_force   version=2 detail=fd-b
  17665 fd-a.vm0   job_ended                job=fd-a/fd-b.vm0-1a3185c505f-28 code=4006
  21355 fd-c.vm0   job_accepted             job=fd-b/fd-b.vm0-1a3185c505f-1a count=2 detail=log
  21795 *** healed
  21803 fd-b.vm1   configuration_in_force   version=3
  21803 fd-b.vm1   configuration_answered   version=3 code=7000 detail=change-42
  22118 fd-a.vm1   configuration_in_force   version=3
  22165 fd-a.vm0   configuration_in_force   version=3
  22252 fd-c.vm0   configuration_in_force   version=3
  22257 fd-c.vm1   configuration_in_force   version=3
  22348 fd-b.vm0   configuration_in_force   version=3
  23007 fd-c.w001  task_ended               job=fd-c/fd-c.vm0-1a3185c50f9-1d attempt=fd-c/fd-c.vm0-1a3185c50f9-1d#1.1 target=fd-c.w001 count=1 detail=finished
  23007 fd-c.w000  task_ended               job=fd-c/fd-c.vm0-1a3185c50f9-1d attempt=fd-c/fd-c.vm0-1a3185c50f9-1d#1.1 target=fd-c.w000 count=1 detail=finished
  23999 fd-c.vm0   job_placed               job=fd-b/fd-b.vm0-1a3185c505f-1a attempt=fd-b/fd-b.vm0-1a3185c505f-1a#1.1 count=2
  24000 fd-c.w000  task_reserved            job=fd-b/fd-b.vm0-1a3185c505f-1a attempt=fd-b/fd-b.vm0-1a3185c505f-1a#1.1 target=fd-c.w000 count=1
  24000 fd-c.w001  task_reserved            job=fd-b/fd-b.vm0-1a3185c505f-1a attempt=fd-b/fd-b.vm0-1a3185c505f-1a#1.1 target=fd-c.w001 count=1
  24002 fd-c.vm0   job_ended                job=fd-c/fd-c.vm0-1a3185c50f9-1d code=1002
  24002 fd-c.w001  task_started             job=fd-b/fd-b.vm0-1a3185c505f-1a attempt=fd-b/fd-b.vm0-1a3185c505f-1a#1.1 target=fd-c.w001 count=1
  24002 fd-c.w000  task_started             job=fd-b/fd-b.vm0-1a3185c505f-1a attempt=fd-b/fd-b.vm0-1a3185c505f-1a#1.1 target=fd-c.w000 count=1
  24004 fd-c.vm0   job_started              job=fd-b/fd-b.vm0-1a3185c505f-1a attempt=fd-b/fd-b.vm0-1a3185c505f-1a#1.1 count=2
  24361 fd-a.w002  task_ended               job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#3.2 target=fd-a.w002 count=1 detail=finished
  24362 fd-a.w000  task_ended               job=fd-a/fd-a.vm0-1a3185c50a2-20 attempt=fd-a/fd-a.vm0-1a3185c50a2-20#3.2 target=fd-a.w000 count=1 detail=finished
  27165 fd-a.vm0   job_ended                job=fd-a/fd-a.vm0-1a3185c50a2-20 code=1002
  36503 fd-c.w000  task_ended               job=fd-b/fd-b.vm0-1a3185c505f-1a attempt=fd-b/fd-b.vm0-1a3185c505f-1a#1.1 target=fd-c.w000 count=1 detail=finished
  36503 fd-c.w001  task_ended               job=fd-b/fd-b.vm0-1a3185c505f-1a attempt=fd-b/fd-b.vm0-1a3185c505f-1a#1.1 target=fd-c.w001 count=1 detail=finished
  39002 fd-c.vm0   job_ended                job=fd-b/fd-b.vm0-1a3185c505f-1a code=1002
FAILED: python -m citronmount.bench.faults --fault configuration-out-and-back --step job.report --seed 978017
  true-results 39295: trial-1 told DONE, runs ended [['stopped', 'stopped', 'finished', 'finished']]
  job trial-0: fd-a/fd-a.vm0-1a3185c50a2-20 done 
  job trial-1: fd-b/fd-b.vm0-1a3185c505f-1a done 
  job trial-2: fd-c/fd-c.vm0-1a3185c50f9-1d done 
  job once: fd-c/kcbc8316aa620c9dcdb00589f done 
  job cancelled: fd-a/fd-c.vm0-1a3185c50f9-2f cancelled 
  job failing: fd-a/fd-b.vm0-1a3185c505f-28 failed 
  job never: None open JobResult(code=<ResultCode.NEVER_FITS: 2003>, detail='100 tasks in one failure_domain', exit_code=None)
  job gang: fd-b/fd-c.vm0-1a3185c50f9-34 done 
